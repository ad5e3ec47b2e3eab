// Tests that a failure domain is evacuated and restored under traffic: its
// upstreams get no new flows, and no flow is lost or placed twice.
#include <gtest/gtest.h>

#include <fstream>
#include <thread>

#include "support/armor_load.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFeeds = 500;
// Time within which an accepted edit is in force at every balancer.
constexpr auto kEditBound = 7s;

// Returns the number of requests that the upstreams of survey-link in the
// domain have executed.
int CountExecutions(test_cluster& w, const std::string& domain) {
  const json table = json::parse(std::ifstream(ArmorTableFile("survey-link")));
  const json report =
      w.upstreams().SendCommand({{"cmd", "report"}})["upstreams"];
  int runs = 0;
  for (const json& row : table["upstreams"]) {
    for (const json& up : report)
      if (row["domain"] == domain && up["address"] == row["address"])
        runs += up["runs"].get<int>();
  }
  return runs;
}

TEST(ProcessEvacuation, EvacuatedDomainGetsNoNewFlowAndNoFlowIsLost) {
  test_cluster w(ArmorBalancers(), 71);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  StartShortFlows(w, 20);
  std::this_thread::sleep_for(1s);
  const ctl_result evacuated = w.RunCtl({"evacuate", "rennes"});
  EXPECT_EQ(evacuated.code, 0) << evacuated.output;
  std::this_thread::sleep_for(kEditBound);
  const int before = CountExecutions(w, "rennes");
  EXPECT_GT(before, 0);
  const int elsewhere = CountExecutions(w, "quimper");
  std::this_thread::sleep_for(2s);
  EXPECT_EQ(CountExecutions(w, "rennes"), before);
  EXPECT_GT(CountExecutions(w, "quimper"), elsewhere);
  const ctl_result status = w.RunCtl({"status"});
  EXPECT_EQ(status.code, 0) << status.output;
  EXPECT_NE(status.output.find("domain rennes: evacuated"), std::string::npos)
      << status.output;
  EXPECT_EQ(w.RunCtl({"restore", "rennes"}).code, 0);
  std::this_thread::sleep_for(kEditBound);
  EXPECT_GT(CountExecutions(w, "rennes"), before);
  WaitForFlowsAndCloseFeeds(w);
  EXPECT_EQ(w.WaitUntilIdle(10s), "");
  const traffic_results v = w.CollectResults();
  EXPECT_TRUE(v.HasNoViolations()) << v;
  EXPECT_EQ(v.refused, 0) << v;
  std::cout << v;
}

}  // namespace
}  // namespace radishyard
