// Tests the command `check`: its rules on single services, and the comparison
// with the services in force.
#include "ctl/check_command.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "ctl/edit.h"
#include "ctl/evacuation_commands.h"
#include "ctl/run_command.h"
#include "support/fake_store.h"
#include "table/table_advice.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

service MakeService(const std::string& name, uint32_t subnet) {
  service s{.name = name, .address = subnet, .ports = {{80, 80}}};
  s.ports[0].kind = port_kind::kRequest;
  for (uint32_t i = 1; i <= 4; ++i)
    s.upstreams.push_back(
        {"u" + std::to_string(i), subnet + i, "rennes", 10, 2, 2000});
  return s;
}

/// The places of the advice on a service that `edit` has changed.
std::vector<std::string> PlacesOfAdvice(
    const std::function<void(service&)>& edit) {
  service s = MakeService("a", 0x0a000100);
  edit(s);
  std::vector<std::string> places;
  const findings advice = AdviseOnService(s);
  for (const finding& f : advice.list()) places.push_back(f.place);
  return places;
}

using places = std::vector<std::string>;

// Guards against advice on an ordinary or deleted service.
TEST(TableAdvice, AnOrdinaryServiceHasNone) {
  EXPECT_EQ(PlacesOfAdvice([](service&) {}), places{});
  EXPECT_EQ(PlacesOfAdvice([](service& s) {
              s.deleted = true;
              s.upstreams[0].weight = 0;
            }),
            places{});
}

// Guards against rows that an operator takes to be in effect.
TEST(TableAdvice, FindsRowsWithoutEffect) {
  EXPECT_EQ(PlacesOfAdvice([](service& s) { s.upstreams[2].weight = 0; }),
            places{"/upstreams/2/weight"});
  EXPECT_EQ(PlacesOfAdvice([](service& s) {
              for (upstream& u : s.upstreams)
                u.state = upstream_state::kLeaving;
            }),
            places{"/upstreams"});
  EXPECT_EQ(PlacesOfAdvice([](service& s) { s.ports[0].idempotent = false; }),
            places{"/ports/0/idempotent"});
  EXPECT_EQ(PlacesOfAdvice([](service& s) {
              s.ports[0].idempotent = false;
              s.ports[0].proto = protocol::kUdp;
            }),
            places{});
}

// Guards against limits that leave slots unused.
TEST(TableAdvice, FindsLimitsThatContradictEachOther) {
  const auto few_connections = [](service& s) {
    s.upstreams[1].connections = 1;
  };
  EXPECT_EQ(PlacesOfAdvice(few_connections),
            places{"/upstreams/1/connections"});
  EXPECT_EQ(PlacesOfAdvice([&](service& s) {
              few_connections(s);
              s.ports[0].kind = port_kind::kFeed;
            }),
            places{})
      << "a feed holds no slot";
  // 400 of 430 of the weights, a quarter of the slots: 3.7 times.
  EXPECT_EQ(PlacesOfAdvice([](service& s) { s.upstreams[3].weight = 400; }),
            places{});
  EXPECT_EQ(PlacesOfAdvice([](service& s) {
              s.upstreams[3].weight = 400;
              for (int i = 0; i < 3; ++i) s.upstreams[i].slots = 4;
            }),
            places{"/upstreams/3/weight"});
}

// Guards against a warning while one upstream still takes flows.
TEST(TableAdvice, FindsServicesWithoutAnUpstreamOutsideEvacuatedDomains) {
  service s = MakeService("a", 0x0a000100);
  s.upstreams[0].domain = "quimper";
  EXPECT_TRUE(AdviseOnEvacuations(s, {"rennes"}).empty());
  EXPECT_FALSE(AdviseOnEvacuations(s, {"quimper", "rennes"}).empty());
  s.upstreams[0].state = upstream_state::kLeaving;
  EXPECT_FALSE(AdviseOnEvacuations(s, {"rennes"}).empty());
}

class check_command : public testing::Test {
 protected:
  check_command() {
    std::string name = std::filesystem::temp_directory_path() / "checkXXXXXX";
    folder_ = ::mkdtemp(name.data());
  }
  ~check_command() override { std::filesystem::remove_all(folder_); }

  std::string WriteFile(const std::string& name, const std::string& text) {
    std::ofstream(folder_ / name) << text;
    return folder_ / name;
  }
  std::string WriteFile(const service& s) {
    return WriteFile(s.name + ".json", ToJson(s));
  }
  command_result Check(const std::string& path,
                       const std::string& against = "live") {
    return CheckFiles(blocking_, {{path}, against});
  }
  void Apply(const std::string& path) {
    ASSERT_EQ(ApplyFiles(blocking_, {{path}, {}, false}, RandomEditId).code,
              exit_code::kDone);
  }

  asio::io_context io_;
  fake_platform platform_;
  fake_store store_{io_, platform_};
  blocking_store blocking_{store_, io_, 200ms};
  std::filesystem::path folder_;
};

// Guards against a check that writes, or misses a difference.
TEST_F(check_command, ComparesWithTheStoreAndWritesNothing) {
  service a = MakeService("a", 0x0a000100);
  const std::string path = WriteFile(a);
  EXPECT_EQ(Check(path).json["services"][0]["state"], "new");
  EXPECT_EQ(Check(path).code, exit_code::kNotDone);
  EXPECT_EQ(platform_.revision(), 0U);
  Apply(path);
  EXPECT_EQ(Check(path).code, exit_code::kDone);
  a.upstreams[0].slots = 3;
  const command_result changed = Check(WriteFile(a));
  EXPECT_EQ(changed.code, exit_code::kNotDone);
  EXPECT_EQ(changed.json["services"][0]["changes"][0]["place"],
            "/upstreams/u1/slots");
  EXPECT_EQ(platform_.revision(), 1U);
}

// Guards against a conflict with a service that the files do not contain, and
// against one that hides the comparison.
TEST_F(check_command, FindsConflictsWithServicesInForce) {
  Apply(WriteFile(MakeService("a", 0x0a000100)));
  service b = MakeService("b", 0x0a000200);
  b.upstreams[0].address = 0x0a000101;
  const std::string path = WriteFile(b);
  EXPECT_EQ(CheckFiles(blocking_, {{path}, ""}).code, exit_code::kDone);
  const command_result result = Check(path);
  EXPECT_EQ(result.code, exit_code::kFindings);
  EXPECT_EQ(result.json["errors"].size(), 1U);
  EXPECT_EQ(result.json["services"].size(), 2U);
  EXPECT_EQ(result.json["services"][1]["state"], "not in the files");
}

// Guards against a malformed file that hides conflicts and differences of the
// others, and against an unreachable store that passes for an empty one.
TEST_F(check_command, ReportsValidFilesBesideMalformedOnes) {
  const std::string a = WriteFile(MakeService("a", 0x0a000100));
  Apply(a);
  std::filesystem::remove(a);
  WriteFile("b.json", "{");
  service c = MakeService("c", 0x0a000300);
  c.upstreams[0].address = 0x0a000101;
  WriteFile(c);
  const command_result result = Check(folder_);
  EXPECT_EQ(result.code, exit_code::kFindings);
  EXPECT_EQ(result.json["errors"].size(), 2U);
  EXPECT_EQ(result.json["services"].size(), 2U);
  EXPECT_EQ(result.text.find("error: "), 0U);
  store_.SetFault({.mode = fault_mode::kOutage});
  EXPECT_EQ(Check(folder_).code, exit_code::kUnavailable);
}

// Guards against a file made from another version, and against a service that
// takes no flows because of an evacuation.
TEST_F(check_command, WarnsOfOldVersionsAndEvacuatedDomains) {
  const std::string path = WriteFile(MakeService("a", 0x0a000100));
  Apply(path);
  SetEvacuation(blocking_, "rennes", true, RandomEditId);
  EXPECT_EQ(Check(path).json["warnings"][0]["place"], path + "#/upstreams");
  service a = MakeService("a", 0x0a000100);
  const std::string same =
      WriteFile("same.json", ToFileJson({.value = a, .version = 7}));
  EXPECT_EQ(Check(same).json["warnings"].size(), 1U) << "nothing to apply";
  a.upstreams[0].slots = 3;
  const std::string old =
      WriteFile("old.json", ToFileJson({.value = a, .version = 7}));
  EXPECT_EQ(Check(old).json["warnings"][0]["place"], old + "#/version");
  EXPECT_EQ(Check(old, path).code, exit_code::kNotDone);
  EXPECT_TRUE(Check(old, path).json["warnings"].empty())
      << "the file to compare with names no version";
}

// Guards against a comparison with the store that is left out without a word.
TEST_F(check_command, NeedsThePlatformToCompareWithTheStore) {
  const command_line line{.command = "check",
                          .arguments = {WriteFile(MakeService("a", 1 << 24))},
                          .against = kAgainstLive};
  EXPECT_EQ(RunCommand(line, {blocking_, {}, RandomEditId}).code,
            exit_code::kUsage);
}

// Guards against a comparison with files that asks the store.
TEST_F(check_command, ComparesWithFilesWithoutTheStore) {
  store_.SetFault({.mode = fault_mode::kOutage});
  service a = MakeService("a", 0x0a000100);
  const std::string before = WriteFile("before.json", ToJson(a));
  EXPECT_EQ(Check(before, before).code, exit_code::kDone);
  a.upstreams.pop_back();
  EXPECT_EQ(Check(WriteFile(a), before).code, exit_code::kNotDone);
}

}  // namespace
}  // namespace radishyard
