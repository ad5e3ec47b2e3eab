// Planned changes under traffic: every balancer replaced in turn, every
// upstream drained and joined again, and a series of table edits.
#include <gtest/gtest.h>

#include <fstream>
#include <thread>

#include "support/armor_load.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFeeds = 1000;
constexpr auto kSpread = 3s;  // An accepted edit is in force everywhere.

void ExpectNothingLost(test_cluster& w) {
  EXPECT_EQ(w.WaitUntilIdle(10s), "");
  const traffic_results v = w.CollectResults();
  EXPECT_TRUE(v.HasNoViolations()) << v;
  EXPECT_EQ(v.refused, 0) << v;
  std::cout << v;
}

json Survey() { return json::parse(std::ifstream(ArmorTable("survey-link"))); }

// Runs of each upstream of `indices`, by address.
std::map<std::string, int> Runs(test_cluster& w, const json& rows,
                                size_t first) {
  std::map<std::string, int> runs;
  const json report =
      w.upstreams().SendCommand({{"cmd", "report"}})["upstreams"];
  for (size_t i = first; i < rows.size(); i += 2) {
    for (const json& up : report)
      if (up["address"] == rows[i]["address"])
        runs[up["address"]] = up["runs"].get<int>();
  }
  return runs;
}

TEST(ProcessChange, EveryBalancerIsReplacedInTurn) {
  test_cluster w(ArmorBalancers(), 41);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  for (balancer& b : w.balancers()) {
    StartFlows(w, 6);
    w.SetFabricBalancers(b.name());
    EXPECT_TRUE(b.Stop(15s)) << b.name() << "\n" << b.Log();
    b.Start();
    EXPECT_TRUE(w.WaitUntilInForce(10s)) << b.Status().dump(1);
    w.SetFabricBalancers();
  }
  EndLoad(w);
  ExpectNothingLost(w);
}

TEST(ProcessChange, EveryUpstreamIsDrainedAndJoined) {
  test_cluster w(ArmorBalancers(), 42);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  const json rows = Survey()["upstreams"];
  for (size_t first : {0, 1}) {
    StartFlows(w, 10);
    for (size_t i = first; i < rows.size(); i += 2) {
      const ctl_result drained =
          w.RunCtl({"drain", "survey-link", rows[i]["name"]});
      EXPECT_EQ(drained.code, 0) << drained.output;
    }
    std::this_thread::sleep_for(kSpread);
    const auto before = Runs(w, rows, first);
    EXPECT_EQ(before.size(), rows.size() / 2);
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(Runs(w, rows, first), before);
    for (size_t i = first; i < rows.size(); i += 2) {
      const ctl_result joined =
          w.RunCtl({"join", "survey-link", rows[i]["name"]});
      EXPECT_EQ(joined.code, 0) << joined.output;
    }
    std::this_thread::sleep_for(kSpread);
  }
  EndLoad(w);
  ExpectNothingLost(w);
}

TEST(ProcessChange, FiftyEditsUnderTraffic) {
  test_cluster w(ArmorBalancers(), 43);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  StartFlows(w, 15);
  json table = Survey();
  const std::string file = testing::TempDir() + "/radishyard.edits.json";
  for (int edit = 0; edit < 50; ++edit) {
    json& row = table["upstreams"][edit % table["upstreams"].size()];
    row["weight"] = 1 + (row["weight"].get<int>() + 7 * edit) % 20;
    row["connections"] = row["connections"].get<int>() + 1;
    std::ofstream(file) << table.dump(2);
    const ctl_result applied = w.ApplyTables({file});
    EXPECT_EQ(applied.code, 0) << edit << " " << applied.output;
  }
  EXPECT_TRUE(w.WaitUntilInForce(kSpread));
  EndLoad(w);
  ExpectNothingLost(w);
}

}  // namespace
}  // namespace radishyard
