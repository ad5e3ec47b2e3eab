// Tests that balancers stay correct while the platform fails: outages, stale
// reads, stale watches and lost responses, combined with killed balancers and
// table edits.
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

#include "support/armor_load.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFeeds = 500;
// Time within which an accepted edit is in force at every balancer.
constexpr auto kPropagationTime = 3s;
constexpr double kMaxAcceptGapMs = 3000;
// Time until the fabric stops using the next hop of a killed balancer.
constexpr auto kRerouteTime = 300ms;
// A UDP request whose response was lost with a balancer occupies its slot until
// the idle timeout of its port, 30 s.
constexpr auto kIdleTimeout = 35s;

void SetPlatformFault(test_cluster& w, const char* mode, unsigned count = 0) {
  ASSERT_TRUE(
      w.PostToPlatform("/admin/fault", {{"mode", mode}, {"count", count}}));
}

// Returns the version of survey-link in force at each running balancer; 0 if it
// has none.
std::map<std::string, uint64_t> ReadVersions(test_cluster& w) {
  std::map<std::string, uint64_t> versions;
  for (balancer& b : w.balancers()) {
    if (!b.is_running()) continue;
    const json status = b.Status();
    const json found = status.is_object() ? status["services"] : json();
    versions[b.name()] = found.contains("survey-link")
                             ? found["survey-link"]["version"].get<uint64_t>()
                             : 0;
  }
  return versions;
}

uint64_t LowestVersion(const std::map<std::string, uint64_t>& versions) {
  uint64_t lowest = UINT64_MAX;
  for (const auto& [name, version] : versions)
    lowest = std::min(lowest, version);
  return lowest;
}

std::string FindOwner(test_cluster& w, const std::string& domain) {
  for (balancer& b : w.balancers()) {
    const json status = b.Status();
    if (!status.is_object()) continue;
    for (const json& pool : status["pools"])
      if (pool["service"] == "survey-link" && pool["domain"] == domain)
        return b.name();
  }
  return "";
}

// Checks that no request was executed twice or reached two upstreams, no
// refused request was executed, and no limit was exceeded.
void ExpectNoDuplicateExecution(test_cluster& w) {
  const traffic_results v = w.CollectResults();
  EXPECT_EQ(v.doubled + v.crossed + v.on_two + v.wrong + v.refused_but_ran +
                v.over_slots + v.over_connections,
            0)
      << v;
  EXPECT_EQ(v.broken, 0) << v;
  std::cout << v;
}

TEST(ProcessPlatform, EditComesIntoForceDespiteOutageAfterTheWrite) {
  test_cluster w(ArmorBalancers(), 61);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  const uint64_t before = LowestVersion(ReadVersions(w));
  ASSERT_EQ(w.RunCtl({"drain", "survey-link", "survey-1"}).code, 0);
  SetPlatformFault(w, "outage");
  std::this_thread::sleep_for(kPropagationTime);
  const auto versions = ReadVersions(w);
  for (const auto& [name, version] : versions)
    EXPECT_GT(version, before) << name;
  // A restarted balancer gets the table and the rosters from its peers.
  balancer& restarted = w.Balancer("vannes-2");
  restarted.Kill();
  restarted.Start();
  std::this_thread::sleep_for(kPropagationTime);
  EXPECT_EQ(ReadVersions(w), versions) << restarted.Status().dump(1);
  EXPECT_EQ(restarted.Status()["rosters"].size(), 3)
      << restarted.Status().dump(1);
  SetPlatformFault(w, "none");
  EXPECT_TRUE(w.WaitUntilInForce(10s));
}

TEST(ProcessPlatform, TableVersionsNeverDecreaseOnStaleReadsAndWatches) {
  test_cluster w(ArmorBalancers(), 62);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  for (const char* mode : {"stale_read", "old_watch", "stale_read"}) {
    ASSERT_EQ(w.RunCtl({"drain", "survey-link", "survey-1"}).code, 0);
    ASSERT_EQ(w.RunCtl({"join", "survey-link", "survey-1"}).code, 0);
    ASSERT_TRUE(w.WaitUntilInForce(kPropagationTime));
    auto last = ReadVersions(w);
    SetPlatformFault(w, mode);
    w.Balancer("rennes-3").Kill();
    w.Balancer("rennes-3").Start();
    last["rennes-3"] = 0;
    for (int sample = 0; sample < 40; ++sample) {
      std::this_thread::sleep_for(100ms);
      const auto now = ReadVersions(w);
      for (const auto& [name, version] : now)
        EXPECT_GE(version, last[name]) << mode << " " << name;
      last = now;
    }
    SetPlatformFault(w, "none");
    EXPECT_TRUE(w.WaitUntilInForce(10s)) << mode;
  }
}

TEST(ProcessPlatform, FlowsAreAcceptedAfterOwnerIsKilledInAnOutage) {
  test_cluster w(ArmorBalancers(), 63);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  SetPlatformFault(w, "outage");
  StartShortFlows(w, 15);
  std::this_thread::sleep_for(2s);
  const std::string owner = FindOwner(w, "rennes");
  ASSERT_NE(owner, "");
  w.Balancer(owner).Kill();
  std::this_thread::sleep_for(kRerouteTime);
  w.SetFabricBalancers();
  std::this_thread::sleep_for(8s);
  SetPlatformFault(w, "none");
  EXPECT_TRUE(w.WaitUntilInForce(15s));
  const json report = WaitForFlowsAndCloseFeeds(w);
  EXPECT_LE(LongestAcceptGapMs(report), kMaxAcceptGapMs);
  EXPECT_EQ(w.WaitUntilIdle(kIdleTimeout), "");
  ExpectNoDuplicateExecution(w);
}

TEST(ProcessPlatform, AnswersAreLostAfterWrites) {
  test_cluster w(ArmorBalancers(), 64);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  StartShortFlows(w, 12);
  SetPlatformFault(w, "lost_answer", 1);
  const ctl_result drained = w.RunCtl({"drain", "survey-link", "survey-1"});
  std::cout << drained.code << " " << drained.output;
  EXPECT_TRUE(w.WaitUntilInForce(kPropagationTime));
  SetPlatformFault(w, "lost_answer");
  const std::string owner = FindOwner(w, "rennes");
  w.Balancer(owner).Kill();
  std::this_thread::sleep_for(kRerouteTime);
  w.SetFabricBalancers();
  EXPECT_TRUE(w.WaitUntilInForce(10s))
      << "no single owner per pool while responses are lost";
  SetPlatformFault(w, "none");
  EXPECT_TRUE(w.WaitUntilInForce(10s));
  WaitForFlowsAndCloseFeeds(w);
  EXPECT_EQ(w.WaitUntilIdle(kIdleTimeout), "");
  ExpectNoDuplicateExecution(w);
}

}  // namespace
}  // namespace radishyard
