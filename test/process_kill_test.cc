// Balancers killed or paused under traffic: no flow on two upstreams, nothing
// run twice, limits kept, and new flows placed again in time.
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

#include "support/armor_load.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFeeds = 1000;
constexpr auto kRouted = 300ms;  // Until the fabric leaves out a dead next hop.
// A UDP request whose answer went down with a balancer holds its slot for the
// idle timeout of its port, 30 s.
constexpr auto kIdle = 35s;
constexpr auto kPause = 6s;  // Past lease (1.5 s), suspicion and take-over.
constexpr double kPlacedAgainMs = 3000;
constexpr int kSlowMs = 200;  // Keeps slots in use while the owner changes.

// The balancer that owns a pool, by its own status page.
std::string OwnerOf(test_cluster& w, const std::string& service,
                    const std::string& domain) {
  for (balancer& b : w.balancers()) {
    const json status = b.Status();
    if (!status.is_object()) continue;
    for (const json& pool : status["pools"])
      if (pool["service"] == service && pool["domain"] == domain)
        return b.name();
  }
  return "";
}

// What holds whatever happens. Limits may be exceeded by what was in flight
// when the owner went: at most once the slots.
void ExpectPromises(test_cluster& w, const json& report) {
  const traffic_results v = w.CollectResults();
  EXPECT_EQ(v.doubled + v.crossed + v.on_two + v.wrong + v.refused_but_ran, 0)
      << v;
  EXPECT_EQ(v.over_connections, 0) << v;
  const json upstreams =
      w.upstreams().SendCommand({{"cmd", "report"}})["upstreams"];
  for (const json& up : upstreams) EXPECT_LE(up["most_running"], 4) << up;
  EXPECT_EQ(v.broken, 0) << v;
  EXPECT_LE(LongestGap(report), kPlacedAgainMs) << v;
  EXPECT_EQ(w.WaitUntilIdle(kIdle), "");
  std::cout << "longest_gap_ms=" << LongestGap(report) << "\n" << v;
}

void KillUnderTraffic(const std::vector<std::string>& domains, uint32_t seed) {
  test_cluster w(ArmorBalancers(), seed);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  StartFlows(w, 12, kSlowMs);
  std::this_thread::sleep_for(2s);
  for (const std::string& domain : domains) {
    const std::string owner = OwnerOf(w, "survey-link", domain);
    ASSERT_NE(owner, "");
    w.Balancer(owner).Kill();
  }
  std::this_thread::sleep_for(kRouted);
  w.SetFabricBalancers();
  EXPECT_TRUE(w.WaitUntilInForce(10s));
  ExpectPromises(w, EndLoad(w));
}

TEST(ProcessKill, OneOwner) { KillUnderTraffic({"rennes"}, 51); }

TEST(ProcessKill, TwoOwnersAtOnce) {
  KillUnderTraffic({"rennes", "quimper"}, 52);
}

// The paused owner stays in the spray and the fabric copies packets, so it
// wakes with requests in its socket that its successor has placed.
TEST(ProcessKill, OwnerPausedPastItsLease) {
  test_cluster w(ArmorBalancers(), 53);
  ASSERT_EQ(StartArmor(w, kFeeds), "");
  w.fabric().SendCommand({{"cmd", "faults"}, {"duplicate", 0.3}});
  StartFlows(w, 14, kSlowMs);
  std::this_thread::sleep_for(2s);
  balancer& owner = w.Balancer(OwnerOf(w, "survey-link", "rennes"));
  owner.Freeze();
  std::this_thread::sleep_for(kPause);
  owner.Thaw();
  EXPECT_TRUE(w.WaitUntilInForce(10s));
  ExpectPromises(w, EndLoad(w));
}

}  // namespace
}  // namespace radishyard
