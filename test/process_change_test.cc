// Tests that planned changes under traffic lose no flow: replacing every
// balancer in turn, draining and rejoining every upstream, and a series of
// table edits.
#include <gtest/gtest.h>

#include <fstream>
#include <thread>

#include "support/armor_load.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFeeds = 1000;
// Time within which an accepted edit is in force at every balancer.
constexpr auto kPropagationTime = 3s;

void ExpectNoFlowLost(test_cluster& w) {
  EXPECT_EQ(w.WaitUntilIdle(10s), "");
  const traffic_results v = w.CollectResults();
  EXPECT_TRUE(v.HasNoViolations()) << v;
  EXPECT_EQ(v.refused, 0) << v;
  std::cout << v;
}

json ReadSurveyLinkTable() {
  return json::parse(std::ifstream(ArmorTableFile("survey-link")));
}

// Returns the number of executed requests by address, for every second upstream
// of `rows` from index `first` on.
std::map<std::string, int> ReadExecutionCounts(test_cluster& w,
                                               const json& rows, size_t first) {
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
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  for (balancer& b : w.balancers()) {
    StartShortFlows(w, 6);
    w.SetFabricBalancers(b.name());
    EXPECT_TRUE(b.Stop(15s)) << b.name() << "\n" << b.Log();
    b.Start();
    EXPECT_TRUE(w.WaitUntilInForce(10s)) << b.Status().dump(1);
    w.SetFabricBalancers();
  }
  WaitForFlowsAndCloseFeeds(w);
  ExpectNoFlowLost(w);
}

TEST(ProcessChange, DrainedUpstreamsReceiveNoRequestsAndNoFlowIsLost) {
  test_cluster w(ArmorBalancers(), 42);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  const json rows = ReadSurveyLinkTable()["upstreams"];
  for (size_t first : {0, 1}) {
    StartShortFlows(w, 10);
    for (size_t i = first; i < rows.size(); i += 2) {
      const ctl_result drained =
          w.RunCtl({"drain", "survey-link", rows[i]["name"]});
      EXPECT_EQ(drained.code, 0) << drained.output;
    }
    std::this_thread::sleep_for(kPropagationTime);
    const auto before = ReadExecutionCounts(w, rows, first);
    EXPECT_EQ(before.size(), rows.size() / 2);
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(ReadExecutionCounts(w, rows, first), before);
    for (size_t i = first; i < rows.size(); i += 2) {
      const ctl_result joined =
          w.RunCtl({"join", "survey-link", rows[i]["name"]});
      EXPECT_EQ(joined.code, 0) << joined.output;
    }
    std::this_thread::sleep_for(kPropagationTime);
  }
  WaitForFlowsAndCloseFeeds(w);
  ExpectNoFlowLost(w);
}

TEST(ProcessChange, FiftyTableEditsLoseNoFlow) {
  test_cluster w(ArmorBalancers(), 43);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  StartShortFlows(w, 15);
  json table = ReadSurveyLinkTable();
  const std::string file = testing::TempDir() + "/radishyard.edits.json";
  for (int edit = 0; edit < 50; ++edit) {
    json& row = table["upstreams"][edit % table["upstreams"].size()];
    row["weight"] = 1 + (row["weight"].get<int>() + 7 * edit) % 20;
    row["connections"] = row["connections"].get<int>() + 1;
    std::ofstream(file) << table.dump(2);
    const ctl_result applied = w.ApplyTables({file});
    EXPECT_EQ(applied.code, 0) << edit << " " << applied.output;
  }
  EXPECT_TRUE(w.WaitUntilInForce(kPropagationTime));
  WaitForFlowsAndCloseFeeds(w);
  ExpectNoFlowLost(w);
}

}  // namespace
}  // namespace radishyard
