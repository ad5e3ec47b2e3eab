// The platform fails in every way it has while balancers and the table change.
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

#include "support/armor_load.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFeeds = 500;
constexpr auto kSpread = 3s;
constexpr double kPlacedAgainMs = 3000;
constexpr auto kRouted = 300ms;
// A UDP request whose answer went down with a balancer holds its slot for the
// idle timeout of its port, 30 s.
constexpr auto kIdle = 35s;

void Fault(test_cluster& w, const char* mode, unsigned count = 0) {
  ASSERT_TRUE(w.Platform("/admin/fault", {{"mode", mode}, {"count", count}}));
}

// Version of survey-link in force on each balancer that runs; 0 for none.
std::map<std::string, uint64_t> Versions(test_cluster& w) {
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

uint64_t Lowest(const std::map<std::string, uint64_t>& versions) {
  uint64_t lowest = UINT64_MAX;
  for (const auto& [name, version] : versions)
    lowest = std::min(lowest, version);
  return lowest;
}

std::string OwnerOf(test_cluster& w, const std::string& domain) {
  for (balancer& b : w.balancers()) {
    const json status = b.Status();
    if (!status.is_object()) continue;
    for (const json& pool : status["pools"])
      if (pool["service"] == "survey-link" && pool["domain"] == domain)
        return b.name();
  }
  return "";
}

// Nothing run twice or by two, and nothing refused that ran.
void ExpectSafe(test_cluster& w) {
  const traffic_results v = w.CollectResults();
  EXPECT_EQ(v.doubled + v.crossed + v.on_two + v.wrong + v.refused_but_ran +
                v.over_slots + v.over_connections,
            0)
      << v;
  EXPECT_EQ(v.broken, 0) << v;
  std::cout << v;
}

TEST(ProcessPlatform, EditIsInForceWithTheStoreFailingAfterTheWrite) {
  test_cluster w(ArmorBalancers(), 61);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  const uint64_t before = Lowest(Versions(w));
  ASSERT_EQ(w.RunCtl({"drain", "survey-link", "survey-1"}).code, 0);
  Fault(w, "outage");
  std::this_thread::sleep_for(kSpread);
  const auto versions = Versions(w);
  for (const auto& [name, version] : versions)
    EXPECT_GT(version, before) << name;
  // A new run learns table and rosters from its peers.
  balancer& late = w.Balancer("vannes-2");
  late.Kill();
  late.Start();
  std::this_thread::sleep_for(kSpread);
  EXPECT_EQ(Versions(w), versions) << late.Status().dump(1);
  EXPECT_EQ(late.Status()["rosters"].size(), 3) << late.Status().dump(1);
  Fault(w, "none");
  EXPECT_TRUE(w.WaitUntilInForce(10s));
}

TEST(ProcessPlatform, NoTableRevertsByStaleReadsAndOldEvents) {
  test_cluster w(ArmorBalancers(), 62);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  for (const char* mode : {"stale_read", "old_watch", "stale_read"}) {
    ASSERT_EQ(w.RunCtl({"drain", "survey-link", "survey-1"}).code, 0);
    ASSERT_EQ(w.RunCtl({"join", "survey-link", "survey-1"}).code, 0);
    ASSERT_TRUE(w.WaitUntilInForce(kSpread));
    auto last = Versions(w);
    Fault(w, mode);
    w.Balancer("rennes-3").Kill();
    w.Balancer("rennes-3").Start();
    last["rennes-3"] = 0;
    for (int look = 0; look < 40; ++look) {
      std::this_thread::sleep_for(100ms);
      const auto now = Versions(w);
      for (const auto& [name, version] : now)
        EXPECT_GE(version, last[name]) << mode << " " << name;
      last = now;
    }
    Fault(w, "none");
    EXPECT_TRUE(w.WaitUntilInForce(10s)) << mode;
  }
}

TEST(ProcessPlatform, OwnerIsKilledInAnOutage) {
  test_cluster w(ArmorBalancers(), 63);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  Fault(w, "outage");
  StartFlows(w, 15);
  std::this_thread::sleep_for(2s);
  const std::string owner = OwnerOf(w, "rennes");
  ASSERT_NE(owner, "");
  w.Balancer(owner).Kill();
  std::this_thread::sleep_for(kRouted);
  w.SetFabricBalancers();
  std::this_thread::sleep_for(8s);
  Fault(w, "none");
  EXPECT_TRUE(w.WaitUntilInForce(15s));
  const json report = EndLoad(w);
  EXPECT_LE(LongestGap(report), kPlacedAgainMs);
  EXPECT_EQ(w.WaitUntilIdle(kIdle), "");
  ExpectSafe(w);
}

TEST(ProcessPlatform, AnswersAreLostAfterWrites) {
  test_cluster w(ArmorBalancers(), 64);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  StartFlows(w, 12);
  Fault(w, "lost_answer", 1);
  const ctl_result drained = w.RunCtl({"drain", "survey-link", "survey-1"});
  std::cout << drained.code << " " << drained.output;
  EXPECT_TRUE(w.WaitUntilInForce(kSpread));
  Fault(w, "lost_answer");
  const std::string owner = OwnerOf(w, "rennes");
  w.Balancer(owner).Kill();
  std::this_thread::sleep_for(kRouted);
  w.SetFabricBalancers();
  EXPECT_TRUE(w.WaitUntilInForce(10s)) << "one owner although answers are lost";
  Fault(w, "none");
  EXPECT_TRUE(w.WaitUntilInForce(10s));
  EndLoad(w);
  EXPECT_EQ(w.WaitUntilIdle(kIdle), "");
  ExpectSafe(w);
}

}  // namespace
}  // namespace radishyard
