// Tests the commands of radishyardctl on a store that is unavailable, loses
// requests and responses, or receives edits of other operators in between.
#include "radishyard/ctl.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>

#include "ctl/command_line.h"
#include "roster/roster_json.h"
#include "support/fake_store.h"

namespace radishyard {
namespace {

using nlohmann::json;
using testing::HasSubstr;
using testing::StartsWith;

enum class put_fault : uint8_t {
  kNone,
  kResponseLost,
  kRequestLost,
  kUnavailable,
  kNoResponse
};

// Each entry of `put_faults` applies to one Put. `before_put` and `after_put`
// run right before and after the write of a Put, such as an edit of another
// operator.
class scripted_store : public fake_store {
 public:
  using fake_store::fake_store;

  void Put(const std::string& key, const std::string& value, uint64_t expected,
           store_handler<uint64_t> handler) override {
    const put_fault fault =
        put_faults.empty() ? put_fault::kNone : put_faults.front();
    if (!put_faults.empty()) put_faults.pop_front();
    if (fault == put_fault::kNoResponse) return;
    if (fault == put_fault::kUnavailable)
      return Fail(handler, failure_kind::kUnavailable);
    if (fault == put_fault::kRequestLost)
      return Fail(handler, failure_kind::kUnknown);
    if (before_put) before_put();
    if (fault == put_fault::kResponseLost) {
      handler = [handler](std::optional<uint64_t>, const failure&) {
        handler(std::nullopt, {failure_kind::kUnknown, "lost"});
      };
    }
    fake_store::Put(key, value, expected, handler);
    if (after_put) after_put();
  }

  std::deque<put_fault> put_faults;
  std::function<void()> before_put;
  std::function<void()> after_put;

 private:
  void Fail(const store_handler<uint64_t>& handler, failure_kind kind) {
    fake_store::Get("none", [handler, kind](auto, const failure&) {
      handler(std::nullopt, {kind, "scripted"});
    });
  }
};

service MakeService(const std::string& name, uint32_t subnet) {
  service s{name, subnet, {{80, 80}}, {}, false};
  for (uint32_t i = 1; i <= 4; ++i) {
    s.upstreams.push_back(
        {"u" + std::to_string(i), subnet + i, "rennes", 10, 2, 2000});
  }
  return s;
}

class ctl_test : public testing::Test {
 protected:
  ctl_test() {
    std::string name = std::filesystem::temp_directory_path() / "ctlXXXXXX";
    folder_ = ::mkdtemp(name.data());
  }
  ~ctl_test() override { std::filesystem::remove_all(folder_); }

  std::string WriteFile(const std::string& name, const std::string& text) {
    std::ofstream(folder_ / name) << text;
    return folder_ / name;
  }
  std::string WriteFile(const service& s) {
    return WriteFile(s.name + ".json", ToJson(s));
  }
  // Runs a command line as radishyardctl does.
  command_result Run(std::vector<std::string> words) {
    words.insert(words.begin(), {"radishyardctl", "-p", "127.0.0.1:1"});
    std::vector<const char*> argv;
    argv.reserve(words.size() + 1);
    for (const std::string& word : words) argv.push_back(word.c_str());
    argv.push_back(nullptr);
    failure why;
    const auto line =
        ParseCommandLine(static_cast<int>(words.size()), argv.data(), why);
    if (!line) return {exit_code::kUsage, why.text, {}};
    return RunCommand(*line, {blocking_, fetch_, [this] {
                                return "edit-" + std::to_string(++edits_);
                              }});
  }
  service ReadStored(const std::string& name) {
    failure why;
    return ReadService(blocking_, name, why).value().record.value;
  }
  // Changes a service as another operator does, directly in the platform.
  void EditByOther(const std::string& name,
                   const std::function<void(service&)>& edit) {
    const stored_object object =
        platform_.Find(ToServiceKey(name), false).value();
    findings found;
    service_record record =
        ParseRecord(object.value, object.version, found).value();
    auto earlier_edits = ParseEarlierEdits(object.value);
    earlier_edits.insert(earlier_edits.begin(),
                         {record.edit_id, record.version});
    edit(record.value);
    failure why;
    platform_.Put(object.key,
                  ToRecordJson(record.value, "aside", earlier_edits),
                  object.version, why);
  }
  // Makes another operator's edit of the service "a" once: before or, with
  // `after_write`, after the write of the next Put.
  void EditByOtherDuringPut(const std::function<void(service&)>& edit,
                            bool after_write = false) {
    auto& hook = after_write ? store_.after_put : store_.before_put;
    hook = [this, edit, &hook] {
      EditByOther("a", edit);
      hook = nullptr;
    };
  }

  asio::io_context io_;
  fake_platform platform_;
  scripted_store store_{io_, platform_};
  blocking_store blocking_{store_, io_, 200ms};
  page_fetcher fetch_;
  std::filesystem::path folder_;
  int edits_ = 0;
};

TEST_F(ctl_test, ApplyWritesOnlyChangesAndChecksBeforeWriting) {
  const std::string a = WriteFile(MakeService("a", 0x0a000100));
  WriteFile(MakeService("b", 0x0a000200));
  EXPECT_EQ(Run({"apply", "-f", folder_}).text,
            "a: accepted, version 1, edit edit-1\n"
            "b: accepted, version 2, edit edit-2\n");
  EXPECT_THAT(Run({"apply", "-f", a}).text, "a: unchanged, version 1\n");
  EXPECT_EQ(platform_.revision(), 2U);

  // Nothing is written if "c" has an upstream of "a", or if a file is
  // malformed.
  service c = MakeService("c", 0x0a000300);
  c.upstreams[0].address = 0x0a000101;
  const auto conflicting = Run({"apply", "-f", WriteFile(c)});
  EXPECT_EQ(conflicting.code, exit_code::kFindings);
  EXPECT_THAT(conflicting.text, HasSubstr("/c: has the upstream endpoint"));
  WriteFile("d.json", "{");
  EXPECT_EQ(Run({"apply", "-f", folder_}).code, exit_code::kFindings);
  EXPECT_EQ(Run({"validate", folder_}).json["findings"].size(), 2U);
  EXPECT_EQ(platform_.revision(), 2U);
  store_.SetFault({.mode = fault_mode::kOutage});
  EXPECT_EQ(Run({"apply", "-f", a}).code, exit_code::kUnavailable);
}

TEST_F(ctl_test, InvalidCommandLinesReturnUsage) {
  for (const std::vector<std::string>& words :
       std::vector<std::vector<std::string>>{
           {},
           {"frob"},
           {"apply"},
           {"drain", "a"},
           {"--nothing"},
           {"status", "-o", "xml"},
           {"status", "-t", "0"},
           {"settle", "e", "a", "--after", "-1"}}) {
    EXPECT_EQ(Run(words).code, exit_code::kUsage);
  }
}

// If two operators edit the same service at the same time, an edit that simply
// replaced the stored value would remove the other operator's edit.
TEST_F(ctl_test, ConcurrentEditsAreMergedOrRejectedButNeverLost) {
  const service base = MakeService("a", 0x0a000100);
  const std::string base_file = WriteFile("base.json", ToJson(base));
  Run({"apply", "-f", base_file});
  service mine = base;
  mine.upstreams[0].weight = 12;
  const std::string file = WriteFile(mine);
  const auto add_upstream = [](service& s) {
    s.upstreams.push_back({"u5", 0x0a000105, "vannes", 3, 2, 9});
    s.upstreams[0].slots = 7;
  };

  // An edit of the other operator during `apply` makes it fail; with --merge,
  // both edits are kept.
  EditByOtherDuringPut(add_upstream);
  const auto refused = Run({"apply", "-f", file});
  EXPECT_EQ(refused.code, exit_code::kNotDone);
  EXPECT_THAT(refused.text,
              HasSubstr("from version 1, the store has version 2"));
  EXPECT_THAT(refused.text, HasSubstr("/upstreams/u5"));
  const auto merged = Run({"apply", "-f", file, "--merge", "-b", base_file});
  EXPECT_EQ(merged.code, exit_code::kDone) << merged.text;
  EXPECT_EQ(ReadStored("a").upstreams.size(), 5U);
  EXPECT_EQ(ReadStored("a").upstreams[0].weight, 12U);
  EXPECT_EQ(ReadStored("a").upstreams[0].slots, 7U);

  // Two edits that change the same field in different ways are a conflict at
  // the place of that field, also with --merge.
  EditByOther("a", [](service& s) { s.upstreams[0].weight = 14; });
  const auto conflict = Run({"apply", "-f", file, "-m", "-b", base_file});
  EXPECT_EQ(conflict.code, exit_code::kNotDone);
  EXPECT_THAT(conflict.text, HasSubstr("conflict at /upstreams/u1/weight: was "
                                       "10, your edit makes it 12, the store "
                                       "has 14"));
  // A file that states the version it was made from is accepted only if the
  // store still has that version.
  const auto outdated =
      Run({"apply", "-f", WriteFile("v.json", ToFileJson({mine, 1}))});
  EXPECT_EQ(outdated.code, exit_code::kNotDone);
  EXPECT_EQ(ReadStored("a").upstreams[0].weight, 14U);
  // A file without the state of an upstream does not end its drain.
  Run({"drain", "a", "u4"});
  json without_states =
      json::parse(ToFileJson({ReadStored("a"), platform_.revision()}));
  for (json& row : without_states["upstreams"]) row.erase("state");
  EXPECT_THAT(
      Run({"apply", "-f", WriteFile("open.json", without_states.dump())}).text,
      StartsWith("a: unchanged"));
  // An edit of one upstream is made again on top of the other operator's edit.
  EditByOtherDuringPut([](service& s) { s.upstreams[1].weight = 1; });
  EXPECT_EQ(Run({"drain", "a", "u1"}).code, exit_code::kDone);
  EXPECT_EQ(ReadStored("a").upstreams[0].state, upstream_state::kLeaving);
  EXPECT_EQ(ReadStored("a").upstreams[1].weight, 1U);
}

// A write whose response is lost may or may not have taken effect. The command
// reads the service back and reports "accepted" or "not accepted" only if the
// stored edit ids prove it, otherwise "unknown".
TEST_F(ctl_test, SettlesEditsWhoseResponseWasLost) {
  Run({"apply", "-f", WriteFile(MakeService("a", 0x0a000100))});
  store_.put_faults = {put_fault::kResponseLost};
  EXPECT_THAT(Run({"drain", "a", "u1"}).text, StartsWith("a: accepted"));
  store_.put_faults = {put_fault::kRequestLost, put_fault::kUnavailable};
  EXPECT_THAT(Run({"drain", "a", "u2"}).text, StartsWith("a: accepted"));
  EXPECT_EQ(platform_.revision(), 3U);

  // The edit is accepted, and then replaced by another operator's edit before
  // it is read back.
  store_.put_faults = {put_fault::kResponseLost};
  EditByOtherDuringPut([](service& s) { s.upstreams[3].weight = 1; }, true);
  EXPECT_THAT(Run({"drain", "a", "u3"}).text, StartsWith("a: accepted"));
  EXPECT_EQ(ReadStored("a").upstreams[2].state, upstream_state::kLeaving);

  // The request is lost, and another operator's edit is accepted first: the
  // edit is made again on top of it.
  store_.put_faults = {put_fault::kRequestLost};
  EditByOtherDuringPut([](service& s) { s.upstreams[3].weight = 2; });
  EXPECT_THAT(Run({"join", "a", "u3"}).text, StartsWith("a: accepted"));
  EXPECT_EQ(ReadStored("a").upstreams[3].weight, 2U);

  // The response is lost, and then the platform fails: the outcome is unknown,
  // and the report has the id of the edit.
  const uint64_t before = platform_.revision();
  store_.put_faults = {put_fault::kResponseLost};
  store_.after_put = [this] { store_.SetFault({fault_mode::kOutage}); };
  const auto unknown = Run({"activate", "a", "u3"});
  store_.after_put = nullptr;
  EXPECT_EQ(unknown.code, exit_code::kUnknown);
  const std::string id = unknown.json["services"][0]["edit_id"];
  const std::string after = std::to_string(before);
  EXPECT_THAT(unknown.text, HasSubstr("settle " + id + " a --after " + after));
  store_.SetFault({fault_mode::kStaleRead});
  EXPECT_EQ(Run({"settle", id, "a", "--after", after}).code,
            exit_code::kUnknown);
  store_.SetFault({});
  EXPECT_THAT(Run({"settle", id, "a"}).text, HasSubstr("a: accepted"));
  EXPECT_EQ(Run({"settle", "other", "a"}).code, exit_code::kUnknown);
  EXPECT_EQ(Run({"settle", "other", "a", "--after", after}).code,
            exit_code::kNotDone);
}

// A service record keeps a limited number of earlier edits, so it does not
// always show what happened to an older edit.
TEST_F(ctl_test, OutcomeStaysUnknownUnlessTheRecordProvesIt) {
  stored_service stored{{MakeService("a", 1), 40, "e40"},
                        {{"e38", 38}, {"e37", 37}}};
  EXPECT_FALSE(ResolveEdit(stored, "mine", 40));  // May still be in transit.
  EXPECT_FALSE(ResolveEdit(stored, "mine", 30));
  EXPECT_EQ(ResolveEdit(stored, "mine", 37)->state, edit_state::kNotAccepted);
  EXPECT_EQ(ResolveEdit(stored, "e37", 30)->state, edit_state::kAccepted);
  EXPECT_EQ(ResolveEdit(stored, "mine", 0)->state, edit_state::kNotAccepted);
  stored.earlier_edits.resize(kMaxEarlierEdits);
  EXPECT_FALSE(ResolveEdit(stored, "mine", 0));
}

// With any sequence of lost requests and responses, and with or without an edit
// of another operator, the reported outcome agrees with the stored service.
TEST_F(ctl_test, ReportedOutcomesAgreeWithTheStore) {
  Run({"apply", "-f", WriteFile(MakeService("a", 0x0a000100))});
  const bool all_agree = rc::check([this](const std::vector<uint8_t>& faults,
                                          bool others_edit) {
    for (size_t i = 0; i < faults.size() && i < 5; ++i)
      store_.put_faults.push_back(static_cast<put_fault>(faults[i] % 4));
    if (others_edit)
      EditByOtherDuringPut([](service& s) { s.upstreams[1].weight ^= 1; });
    const auto base = ReadStored("a").upstreams[0].state;
    const bool will_drain = base != upstream_state::kLeaving;
    const auto result = Run({will_drain ? "drain" : "activate", "a", "u1"});
    store_.put_faults.clear();
    store_.before_put = nullptr;
    const bool is_changed = ReadStored("a").upstreams[0].state != base;
    const std::string outcome = result.json["services"][0]["outcome"];
    if (outcome == "accepted") RC_ASSERT(is_changed);
    if (outcome == "not accepted") RC_ASSERT(!is_changed);
    RC_ASSERT((outcome == "unknown") == (result.code == exit_code::kUnknown));
  });
  EXPECT_TRUE(all_agree);
}

// An `apply` that is killed between two writes leaves each service either
// completely written or not at all, and a second `apply` completes the work.
TEST_F(ctl_test, InterruptedApplyLeavesNoPartialService) {
  const service a = MakeService("a", 0x0a000100);
  const service b = MakeService("b", 0x0a000200);
  WriteFile(a);
  WriteFile(b);
  // The store does not respond from the second write on, which is the same for
  // the services as a process that ends there.
  store_.put_faults = {put_fault::kNone,       put_fault::kNoResponse,
                       put_fault::kNoResponse, put_fault::kNoResponse,
                       put_fault::kNoResponse, put_fault::kNoResponse};
  EXPECT_EQ(Run({"apply", "-f", folder_}).code, exit_code::kUnknown);
  EXPECT_FALSE(platform_.Find(ToServiceKey("b"), false));
  EXPECT_EQ(ReadStored("a"), a);
  EXPECT_EQ(Run({"apply", "-f", folder_}).code, exit_code::kDone);
  EXPECT_EQ(ReadStored("b"), b);
  EXPECT_EQ(Run({"delete", "b"}).code, exit_code::kDone);
  EXPECT_TRUE(ReadStored("b").deleted);
  EXPECT_THAT(Run({"get"}).text, HasSubstr("b: version 3"));
  EXPECT_THAT(Run({"diff", "-f", folder_}).text,
              HasSubstr("/deleted: true -> false"));
}

// Guards against reports that the store contradicts, and overwritten requests.
TEST_F(ctl_test, EvacuationsAreSettledAndNeverOverwriteUnseenRequests) {
  Run({"apply", "-f", WriteFile(MakeService("a", 0x0a000100))});
  const auto is_evacuated = [this] {
    failure why;
    return ReadEvacuations(blocking_, why)->at(0).record.evacuated;
  };
  EXPECT_THAT(Run({"restore", "rennes"}).text, HasSubstr("unchanged"));
  EXPECT_FALSE(platform_.Find("evacuations/rennes", false));
  store_.put_faults = {put_fault::kResponseLost};
  EXPECT_THAT(Run({"evacuate", "rennes"}).text,
              StartsWith("evacuations/rennes: accepted"));
  EXPECT_TRUE(is_evacuated());
  EXPECT_THAT(Run({"evacuate", "rennes"}).text, HasSubstr("unchanged"));

  // Another operator restores the domain while this one's reply is lost.
  Run({"restore", "rennes"});
  store_.put_faults = {put_fault::kResponseLost};
  store_.after_put = [this] {
    store_.after_put = nullptr;
    Run({"restore", "rennes"});
  };
  EXPECT_THAT(Run({"evacuate", "rennes"}).text, HasSubstr("accepted"));
  EXPECT_FALSE(is_evacuated());

  store_.put_faults = {put_fault::kResponseLost};
  store_.after_put = [this] { store_.SetFault({fault_mode::kOutage}); };
  const auto unknown = Run({"evacuate", "rennes"});
  store_.after_put = nullptr;
  store_.SetFault({});
  EXPECT_EQ(unknown.code, exit_code::kUnknown);
  const std::string id = unknown.json["evacuations"][0]["edit_id"];
  EXPECT_THAT(unknown.text, HasSubstr("settle " + id + " evacuations/rennes"));
  EXPECT_EQ(Run({"settle", id, "evacuations/rennes"}).code, exit_code::kDone);
  EXPECT_EQ(Run({"settle", "x", "evacuations/rennes"}).code,
            exit_code::kUnknown);
}

// Guards against a misspelled domain, and a record that can't be replaced.
TEST_F(ctl_test, EvacuationReportsUnusableDomainsAndReplacesMalformedRecords) {
  Run({"apply", "-f", WriteFile(MakeService("a", 0x0a000100))});
  EXPECT_EQ(Run({"evacuate", "Rennes/1"}).code, exit_code::kFindings);
  EXPECT_THAT(Run({"evacuate", "renes"}).text, HasSubstr("no service has an"));
  fetch_ = [](const auto&) { return std::vector<balancer_page>{}; };
  failure why;
  platform_.Put("evacuations/rennes", R"({"evacuated":"yes"})", 0, why);
  EXPECT_EQ(Run({"status"}).code, exit_code::kFindings);
  EXPECT_THAT(Run({"status"}).text, HasSubstr("rennes: malformed"));
  EXPECT_EQ(Run({"restore", "rennes"}).code, exit_code::kDone);
  EXPECT_THAT(Run({"status"}).text, HasSubstr("rennes: not evacuated"));
}

TEST_F(ctl_test, StatusReportsAppliedVersionsAndLaggingBalancers) {
  Run({"apply", "-f", WriteFile(MakeService("a", 0x0a000100))});
  const roster r{"rennes",
                 1,
                 {{{"b1", 1}, "rennes", 1, {1, 1}, 1, {1, 2}, {1, 3}},
                  {{"b2", 1}, "rennes", 1, {1, 4}, 1, {1, 5}, {1, 6}}},
                 {}};
  failure why;
  platform_.Put("rosters/rennes", ToJson(r), 0, why);
  const std::string first_page =
      R"({"balancer":"b1","services":{"a":{"version":1}},
    "flows":{"open":5,"queued":1},"pools":[{"service":"a","domain":"rennes",
    "owner":true,"connections":5,"slots":2,"queued":1}],"new":[]})";
  balancer_page second_page{std::nullopt, "refused"};
  fetch_ = [&](const std::vector<endpoint>& addresses) {
    EXPECT_EQ(addresses, (std::vector<endpoint>{{1, 3}, {1, 6}}));
    return std::vector<balancer_page>{{first_page, ""}, second_page};
  };
  auto status = Run({"status"});
  EXPECT_EQ(status.code, exit_code::kDone);
  EXPECT_THAT(status.text, HasSubstr("in force on 1 of 1"));
  EXPECT_THAT(status.text, HasSubstr("b2 in rennes: no answer: refused"));
  second_page.body = R"({"balancer":"b2","services":{},"flows":{"open":1}})";
  status = Run({"status"});
  EXPECT_EQ(status.code, exit_code::kLagging);
  EXPECT_THAT(status.text, HasSubstr("lagging: b2 (0)"));
  second_page.body =
      R"({"balancer":"b2","services":{"a":{"version":1}},"flows":{"open":1}})";
  Run({"evacuate", "rennes"});
  status = Run({"status"});
  EXPECT_EQ(status.code, exit_code::kLagging);
  EXPECT_THAT(status.text, HasSubstr("domain rennes: evacuated, version 3"));
  EXPECT_THAT(status.text, HasSubstr("lagging: b1 (0) b2 (0)"));
  EXPECT_EQ(status.json["evacuations"][0]["evacuated"], true);
  EXPECT_EQ(Run({"flows"}).json["open"], 6);
  EXPECT_EQ(Run({"flows"}).json["pools"][0]["slots"], 2);
  store_.SetFault({.mode = fault_mode::kOutage});
  EXPECT_EQ(Run({"status"}).code, exit_code::kUnavailable);
}

}  // namespace
}  // namespace radishyard
