// Tests the table: faults of a document are reported with their places,
// conflicts between services are found, and records are applied by version.
#include "radishyard/table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace radishyard {
namespace {

using nlohmann::json;

json MakeValidService() {
  return json::parse(R"({"service":"survey-link","address":"10.20.0.1",
    "ports":[{"port":7000,"protocol":"tcp","kind":"feed"},
      {"port":7002,"protocol":"udp","kind":"request","idempotent":false,
       "idle_timeout_s":30,"upstream_port":7102}],
    "upstreams":[
      {"name":"survey-1","address":"10.30.1.1","domain":"rennes","weight":10,
       "slots":2,"connections":2000},
      {"name":"survey-2","address":"10.30.1.2","domain":"vannes","weight":5,
       "slots":2,"connections":2000,"state":"joining"}]})");
}

std::vector<std::string> FindingPlaces(const std::string& text) {
  findings found;
  EXPECT_FALSE(ParseService(text, found)) << text.substr(0, 200);
  std::vector<std::string> places;
  for (const finding& f : found.list()) places.push_back(f.place);
  return places;
}

service MakeService(const std::string& name, uint32_t address,
                    uint32_t upstream_address) {
  service s{name, address, {{80, 80}}, {}, false};
  s.upstreams.push_back({"u", upstream_address, "rennes", 1, 1, 1});
  return s;
}

TEST(TableJson, KeepsEveryFieldInARoundTrip) {
  findings found;
  const auto s = ParseService(MakeValidService().dump(), found);
  ASSERT_TRUE(s) << found.Text();
  EXPECT_EQ(s->ports[0].upstream_port, 7000);
  EXPECT_EQ(s->ports[1].upstream_port, 7102);
  EXPECT_FALSE(s->ports[1].idempotent);
  EXPECT_EQ(s->upstreams[1].state, upstream_state::kJoining);
  EXPECT_EQ(ParseService(ToJson(*s), found), s);
  const auto record = ParseRecord(ToRecordJson(*s, "e1"), 7, found);
  EXPECT_EQ(record, (service_record{*s, 7, "e1"}));
  EXPECT_EQ(ParseEarlierEdits(ToRecordJson(*s, "e3", {{"e2", 2}, {"e1", 1}})),
            (std::vector<earlier_edit>{{"e2", 2}, {"e1", 1}}));
  EXPECT_EQ(ParseServiceFile(ToFileJson(*record), found),
            (service_file{*s, 7}));
}

struct bad_input {
  const char* name;
  const char* patch;  // JSON merge patch of a valid service.
  std::vector<std::string> places;
};

class bad_input_test : public testing::TestWithParam<bad_input> {};

TEST_P(bad_input_test, ReportsEveryFaultWithItsPlace) {
  json text = MakeValidService();
  text.merge_patch(json::parse(GetParam().patch));
  EXPECT_THAT(FindingPlaces(text.dump()),
              testing::UnorderedElementsAreArray(GetParam().places));
}

const bad_input kBadInputs[] = {
    {"UnknownKeys", R"({"colour":1,"si/ze":2})", {"/colour", "/si~1ze"}},
    {"WrongTypes",
     R"({"service":1,"address":[],"ports":{},"upstreams":"x","deleted":0})",
     {"/service", "/address", "/ports", "/upstreams", "/deleted"}},
    {"EmptyLists", R"({"ports":[],"upstreams":[]})", {"/ports", "/upstreams"}},
    {"MissingKeys",
     R"({"address":null,"upstreams":[{}]})",
     {"", "/upstreams/0", "/upstreams/0", "/upstreams/0", "/upstreams/0",
      "/upstreams/0", "/upstreams/0"}},
    {"OutOfRange",
     R"({"ports":[{"port":70000,"protocol":"sctp","kind":"feed"}],
       "upstreams":[{"name":"A b","address":"10.30.1.300","domain":"",
       "weight":-1,"slots":-2,"connections":18446744073709551615}]})",
     {"/ports/0/port", "/ports/0/protocol", "/upstreams/0/name",
      "/upstreams/0/address", "/upstreams/0/domain", "/upstreams/0/weight",
      "/upstreams/0/slots", "/upstreams/0/connections"}},
    {"Duplicates",
     R"({"ports":[{"port":1,"protocol":"tcp","kind":"feed"},
       {"port":1,"protocol":"tcp","kind":"feed","upstream_port":2},
       {"port":2,"protocol":"tcp","kind":"feed"},
       {"port":1,"protocol":"udp","kind":"feed"}],
       "upstreams":[{"name":"a","address":"10.30.1.1","domain":"d","weight":0,
       "slots":1,"connections":1},{"name":"a","address":"10.30.1.1",
       "domain":"d","weight":0,"slots":1,"connections":1}]})",
     {"/ports/1/port", "/ports/2/port", "/upstreams/1/name",
      "/upstreams/1/address", "/upstreams"}},
    {"NoHost", R"({"address":"224.0.0.1"})", {"/address"}},
    {"OwnAddress", R"({"address":"10.30.1.1"})", {"/upstreams/0/address"}},
};

INSTANTIATE_TEST_SUITE_P(All, bad_input_test, testing::ValuesIn(kBadInputs),
                         [](const auto& each) { return each.param.name; });

TEST(TableJson, ReportsMalformedAndOversizedDocumentsWithoutThrowing) {
  const std::string text = MakeValidService().dump();
  const std::vector<std::string> whole{""};
  for (size_t length = 0; length < text.size(); length += 7)
    EXPECT_EQ(FindingPlaces(text.substr(0, length)), whole);
  EXPECT_EQ(FindingPlaces(std::string(1'000'001, ' ')), whole);
  EXPECT_EQ(FindingPlaces(std::string(900'000, '[')), whole);
  EXPECT_EQ(FindingPlaces("\"\xff\""), whole);
  EXPECT_EQ(FindingPlaces("{\"a\":1e999}"), whole);
  json with_many_faults = MakeValidService();
  for (int i = 0; i < 50'000; ++i) with_many_faults["upstreams"].push_back(i);
  EXPECT_LE(FindingPlaces(with_many_faults.dump()).size(), 110U);
  std::string with_duplicate_key = text;
  with_duplicate_key.insert(1, R"("address":"10.20.0.9",)");
  EXPECT_EQ(FindingPlaces(with_duplicate_key),
            std::vector<std::string>{"/address"});
}

TEST(TableJson, RejectsMutatedInputOrKeepsItInARoundTrip) {
  std::mt19937 random(20);
  const std::string text = MakeValidService().dump();
  for (int round = 0; round < 3000; ++round) {
    std::string mutant = text;
    for (int edit = 0; edit < 1 + round % 4; ++edit) {
      const size_t at = random() % mutant.size();
      mutant[at] = "{}[],:\"\\0-9e\xff"[random() % 13];
      if (round % 3 == 0) mutant.erase(random() % mutant.size(), 1);
    }
    findings found;
    const auto s = ParseService(mutant, found);
    ASSERT_EQ(s.has_value(), found.empty());
    if (!s) continue;
    ASSERT_EQ(ParseService(ToJson(*s), found), s) << mutant;
  }
}

TEST(TableCheck, FindsSharedEndpointsAndAddresses) {
  const service a = MakeService("a", 1, 10);
  const service b = MakeService("b", 1, 10);
  const service c = MakeService("c", 3, 1);
  service deleted_service = MakeService("gone", 1, 10);
  deleted_service.deleted = true;
  const std::vector<const service*> all{&c, &deleted_service, &b, &a};
  const std::vector<table_conflict> expected{
      {table_conflict_kind::kUpstreamEndpoint,
       protocol::kTcp,
       {10, 80},
       "a",
       "b"},
      {table_conflict_kind::kServiceEndpoint,
       protocol::kTcp,
       {1, 80},
       "a",
       "b"},
      {table_conflict_kind::kServiceAsUpstream,
       protocol::kTcp,
       {1, 0},
       "a",
       "c"},
      {table_conflict_kind::kServiceAsUpstream,
       protocol::kTcp,
       {1, 0},
       "b",
       "c"}};
  EXPECT_EQ(FindConflicts(all), expected);
  EXPECT_EQ(FindConflictsOfService(c, all).size(), 2U);
  service_table table;
  findings found;
  EXPECT_EQ(ApplyRecord(table, {a, 1, ""}, found), apply_result::kApplied);
  EXPECT_EQ(ApplyRecord(table, {b, 2, ""}, found), apply_result::kApplied);
  EXPECT_EQ(found.size(), 2U) << found.Text();
}

std::map<std::string, uint64_t> FindHighestVersions(
    const std::vector<std::pair<int, uint8_t>>& arrivals) {
  std::map<std::string, uint64_t> newest;
  for (const auto& [name, version] : arrivals) {
    if (version == 0) continue;
    uint64_t& highest = newest[std::to_string(name % 4)];
    highest = std::max<uint64_t>(highest, version);
  }
  return newest;
}

TEST(TableSet, KeepsTheHighestVersionInAnyOrderOfArrival) {
  const bool holds = rc::check([](std::vector<std::pair<int, uint8_t>> in) {
    for (auto& [name, version] : in) name = std::abs(name % 4);
    service_table table;
    findings found;
    std::map<std::string, uint64_t> highest_versions;
    for (const auto& [name, version] : in) {
      const std::string text = std::to_string(name);
      const apply_result outcome = ApplyRecord(
          table, {MakeService(text, 1 + name, 100 + name), version, ""}, found);
      RC_ASSERT((outcome == apply_result::kApplied) ==
                (version > highest_versions[text]));
      highest_versions[text] =
          std::max<uint64_t>(highest_versions[text], version);
    }
    std::vector<service_version> expected;
    for (const auto& [name, version] : FindHighestVersions(in))
      expected.push_back({name, version});
    RC_ASSERT(ListVersions(table) == expected);

    // A peer that has received half of the records is sent exactly those that
    // it lacks.
    service_table peer;
    for (size_t i = 0; i < in.size(); i += 2) {
      const std::string text = std::to_string(in[i].first);
      ApplyRecord(peer, {MakeService(text, 1, 2), in[i].second, ""}, found);
    }
    RC_ASSERT((ComputeTableDigest(peer) == ComputeTableDigest(table)) ==
              (ListVersions(peer) == ListVersions(table)));
    for (const service_record_ptr& record :
         FindNewerRecords(table, ListVersions(peer)))
      RC_ASSERT(ApplyRecord(peer, *record, found) == apply_result::kApplied);
    RC_ASSERT(ComputeTableDigest(peer) == ComputeTableDigest(table));
    RC_ASSERT(FindNewerRecords(table, ListVersions(peer)).empty());
  });
  EXPECT_TRUE(holds);
}

// Guards against an evacuation that a late record of its past ends or renews.
TEST(Evacuations, KeepTheHighestVersionInAnyOrderOfArrival) {
  const bool holds =
      rc::check([](const std::vector<std::pair<bool, uint8_t>>& in) {
        evacuation_table table;
        evacuation_table peer;
        std::map<std::string, uint8_t> highest_versions;
        for (const auto& [domain, version] : in) {
          const evacuation_record record{domain ? "rennes" : "vannes",
                                         version % 2 == 1, version, "e"};
          uint8_t& highest = highest_versions[record.domain];
          const bool is_newer = version > highest;
          highest = std::max(highest, version);
          RC_ASSERT((ApplyEvacuation(table, record) ==
                     apply_result::kApplied) == is_newer);
          if (version % 3 == 0) ApplyEvacuation(peer, record);
        }
        for (const auto& [domain, version] : highest_versions)
          RC_ASSERT(EvacuatedDomains(table).contains(domain) ==
                    (version % 2 == 1));
        for (const evacuation_record& record :
             FindNewerEvacuations(table, ListEvacuationVersions(peer)))
          RC_ASSERT(ApplyEvacuation(peer, record) == apply_result::kApplied);
        RC_ASSERT(ComputeEvacuationDigest(peer) ==
                  ComputeEvacuationDigest(table));
        RC_ASSERT(peer.records == table.records);
      });
  EXPECT_TRUE(holds);
}

TEST(Evacuations, MalformedRecordsAreReportedAndNotRead) {
  const evacuation_record record{"rennes", true, 7, "edit-2", {{"edit-1", 5}}};
  findings found;
  EXPECT_EQ(ParseEvacuation(ToJson(record), 7, found), record);
  EXPECT_TRUE(found.empty());
  for (const char* text :
       {"", "{}", "[]", R"({"domain":"rennes","evacuated":true})",
        R"({"domain":"rennes","evacuated":1,"edit_id":"e"})",
        R"({"domain":"Ren/nes","evacuated":true,"edit_id":"e"})",
        R"({"domain":"","evacuated":true,"edit_id":"e"})",
        R"({"domain":"rennes","evacuated":true,"edit_id":"e","until":9})"}) {
    findings faults;
    EXPECT_FALSE(ParseEvacuation(text, 7, faults)) << text;
    EXPECT_FALSE(faults.empty()) << text;
  }
}

TEST(TableExamples, AreValidAndHaveNoConflicts) {
  std::vector<service> services;
  for (const char* file :
       {"armor/survey-link", "armor/drawing-archive", "atlas-colle/order-desk",
        "atlas-colle/note-office"}) {
    std::ifstream in(std::string(RY_BIN_DIR "/../examples/") + file + ".json");
    std::stringstream text;
    text << in.rdbuf();
    findings found;
    const auto s = ParseService(text.str(), found);
    ASSERT_TRUE(s) << file << "\n" << found.Text();
    services.push_back(*s);
  }
  const std::vector<const service*> all{&services[0], &services[1],
                                        &services[2], &services[3]};
  EXPECT_TRUE(FindConflicts(all).empty());
  EXPECT_EQ(services[0].upstreams.size(), 14U);
  EXPECT_EQ(services[3].upstreams.size(), 4U);
}

}  // namespace
}  // namespace radishyard
