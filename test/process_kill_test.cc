// Tests that the guarantees hold when balancers are killed or paused under
// traffic: every flow stays on one upstream, no request is executed twice,
// limits are kept, and new flows are accepted again in time.
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

#include "support/armor_load.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFeeds = 1000;
// Time until the fabric stops using the next hop of a killed balancer.
constexpr auto kRerouteTime = 300ms;
// A UDP request whose response was lost with a balancer occupies its slot until
// the idle timeout of its port, 30 s.
constexpr auto kIdleTimeout = 35s;
// Longer than the lease (1.5 s), the suspicion timeout and the takeover wait.
constexpr auto kPauseTime = 6s;
constexpr double kMaxAcceptGapMs = 3000;
// Long enough to keep slots in use during the change of owner.
constexpr int kSlowServiceMs = 200;

// Returns the balancer whose status page lists it as owner of the pool; empty
// if there is none.
std::string FindOwner(test_cluster& w, const std::string& service,
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

// Checks what holds after any failure. Requests in flight when the owner was
// lost may exceed the slots of an upstream, but only up to twice its number of
// slots, which is 2.
void ExpectGuaranteesHold(test_cluster& w, const json& report) {
  const traffic_results v = w.CollectResults();
  EXPECT_EQ(v.doubled + v.crossed + v.on_two + v.wrong + v.refused_but_ran, 0)
      << v;
  EXPECT_EQ(v.over_connections, 0) << v;
  const json upstreams =
      w.upstreams().SendCommand({{"cmd", "report"}})["upstreams"];
  for (const json& up : upstreams) EXPECT_LE(up["most_running"], 4) << up;
  EXPECT_EQ(v.broken, 0) << v;
  EXPECT_LE(LongestAcceptGapMs(report), kMaxAcceptGapMs) << v;
  EXPECT_EQ(w.WaitUntilIdle(kIdleTimeout), "");
  std::cout << "longest_gap_ms=" << LongestAcceptGapMs(report) << "\n" << v;
}

void KillOwnersUnderTraffic(const std::vector<std::string>& domains,
                            uint32_t seed) {
  test_cluster w(ArmorBalancers(), seed);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  StartShortFlows(w, 12, kSlowServiceMs);
  std::this_thread::sleep_for(2s);
  for (const std::string& domain : domains) {
    const std::string owner = FindOwner(w, "survey-link", domain);
    ASSERT_NE(owner, "");
    w.Balancer(owner).Kill();
  }
  std::this_thread::sleep_for(kRerouteTime);
  w.SetFabricBalancers();
  EXPECT_TRUE(w.WaitUntilInForce(10s));
  ExpectGuaranteesHold(w, WaitForFlowsAndCloseFeeds(w));
}

TEST(ProcessKill, OneOwner) { KillOwnersUnderTraffic({"rennes"}, 51); }

TEST(ProcessKill, TwoOwnersAtOnce) {
  KillOwnersUnderTraffic({"rennes", "quimper"}, 52);
}

// The fabric duplicates packets and keeps sending some of them to the paused
// owner. When it resumes, its socket therefore holds requests that its
// successor has already placed. It must not place them again.
TEST(ProcessKill, OwnerPausedPastItsLease) {
  test_cluster w(ArmorBalancers(), 53);
  ASSERT_EQ(ApplyTablesAndOpenFeeds(w, kFeeds), "");
  w.fabric().SendCommand({{"cmd", "faults"}, {"duplicate", 0.3}});
  StartShortFlows(w, 14, kSlowServiceMs);
  std::this_thread::sleep_for(2s);
  balancer& owner = w.Balancer(FindOwner(w, "survey-link", "rennes"));
  owner.Pause();
  std::this_thread::sleep_for(kPauseTime);
  owner.Resume();
  EXPECT_TRUE(w.WaitUntilInForce(10s));
  ExpectGuaranteesHold(w, WaitForFlowsAndCloseFeeds(w));
}

}  // namespace
}  // namespace radishyard
