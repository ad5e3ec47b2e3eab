// Tests the decisions of a pool: placement, queueing, refusal, retries,
// inherited counts and caller shares.
#include "radishyard/pool.h"

#include <gtest/gtest.h>

namespace radishyard {
namespace {

using decision_kind = open_decision::kind;

// A service with `rows` upstreams of weight 10 in one domain.
service MakeTable(uint32_t rows, uint32_t slots) {
  service s{.name = "survey", .address = 1};
  for (uint32_t i = 1; i <= rows; ++i)
    s.upstreams.push_back({"u" + std::to_string(i), i, "rennes", 10, slots,
                           2000, upstream_state::kActive});
  return s;
}

open_request MakeRequest(uint32_t caller, uint64_t token,
                         port_kind kind = port_kind::kRequest) {
  open_request r;
  r.key.caller = {caller, 4000};
  r.kind = kind;
  r.token = token;
  return r;
}

TEST(Pool, QueuesAtTheSlotLimitAndPlacesOnceASlotIsFree) {
  pool_state pool;
  Configure(pool, MakeTable(2, 2), "rennes", AtMs(0));
  std::vector<open_decision> placed;
  for (uint64_t i = 0; i < 4; ++i)
    placed.push_back(Open(pool, MakeRequest(1, i), AtMs(1)));
  for (const auto& d : placed) EXPECT_EQ(d.what, decision_kind::kPlaced);
  EXPECT_EQ(ComputeLoad(pool, AtMs(1)).free_slots, 0U);
  EXPECT_EQ(Open(pool, MakeRequest(2, 9), AtMs(1)).what,
            decision_kind::kQueued);
  EXPECT_TRUE(Poll(pool, AtMs(2)).empty());
  ReleaseFlow(pool, ReservationFor(MakeRequest(1, 0), placed[0].upstream),
              flow_end::kCompleted, 3ms, AtMs(4));
  auto after_release = Poll(pool, AtMs(4));
  ASSERT_EQ(after_release.size(), 1U);
  EXPECT_EQ(after_release[0].token, 9U);
  EXPECT_EQ(after_release[0].what, decision_kind::kPlaced);
}

TEST(Pool, LeavingAndRemovedUpstreamsKeepFlowsAndGetNoNewOnes) {
  pool_state pool;
  service table = MakeTable(2, 2);
  Configure(pool, table, "rennes", AtMs(0));
  for (uint64_t i = 0; i < 4; ++i)
    Open(pool, MakeRequest(1, i, port_kind::kFeed), AtMs(1));
  table.upstreams[0].state = upstream_state::kLeaving;
  Configure(pool, table, "rennes", AtMs(2));
  EXPECT_EQ(Open(pool, MakeRequest(1, 5, port_kind::kFeed), AtMs(3)).upstream,
            2U);
  table.upstreams.erase(table.upstreams.begin());
  Configure(pool, table, "rennes", AtMs(4));
  ASSERT_EQ(pool.upstreams.size(), 2U);
  EXPECT_EQ(pool.upstreams[0].connections, 2U);
  EXPECT_EQ(Open(pool, MakeRequest(1, 6, port_kind::kFeed), AtMs(5)).upstream,
            2U);
  Configure(pool, service{}, "rennes", AtMs(6));
  EXPECT_EQ(Open(pool, MakeRequest(1, 7), AtMs(7)).why, refusal::kNoUpstream);
  EXPECT_EQ(PoolWeight(table, "rennes"), 10U);
}

TEST(Pool, InheritedFlowsCountUntilAddedOrExpired) {
  pool_state pool;
  Configure(pool, MakeTable(1, 2), "rennes", AtMs(0));
  SetInheritedCounts(pool, 1, 2, 2, AtMs(0));
  EXPECT_FALSE(
      HasRoom(pool, port_kind::kRequest, priority_class::kNormal, AtMs(1)));
  const flow_reservation existing = ReservationFor(MakeRequest(3, 0), 1);
  AddExistingFlow(pool, existing, AtMs(2));
  EXPECT_EQ(ComputeLoad(pool, AtMs(2)).upstreams[0].connections, 2U);
  ReleaseFlow(pool, existing, flow_end::kCompleted, 5ms, AtMs(3));
  EXPECT_EQ(Open(pool, MakeRequest(1, 1), AtMs(3)).what,
            decision_kind::kPlaced);
  EXPECT_EQ(Open(pool, MakeRequest(1, 2), AtMs(4)).what,
            decision_kind::kQueued);
  EXPECT_EQ(Open(pool, MakeRequest(1, 3), AtMs(6'000)).what,
            decision_kind::kQueued);
  EXPECT_EQ(Poll(pool, AtMs(6'000))[0].what, decision_kind::kPlaced);
  // Existing flows may exceed the limit. No new flow is placed until they end.
  for (int i = 0; i < 3; ++i) AddExistingFlow(pool, existing, AtMs(6'001));
  EXPECT_EQ(ComputeLoad(pool, AtMs(6'001)).free_slots, 0U);
}

TEST(Pool, UrgentOpeningsOvertakeAndEveryWaitIsBounded) {
  pool_state pool;
  Configure(pool, MakeTable(1, 1), "rennes", AtMs(0));
  const auto first = Open(pool, MakeRequest(1, 0), AtMs(0));
  Open(pool, MakeRequest(2, 1), AtMs(1));
  open_request urgent = MakeRequest(3, 2);
  urgent.priority = priority_class::kUrgent;
  Open(pool, urgent, AtMs(2));
  ReleaseFlow(pool, ReservationFor(MakeRequest(1, 0), first.upstream),
              flow_end::kCompleted, 5ms, AtMs(5));
  EXPECT_EQ(Poll(pool, AtMs(5))[0].token, 2U);
  ASSERT_TRUE(NextPollTime(pool));
  EXPECT_EQ(*NextPollTime(pool), AtMs(1) + pool.policy.max_wait);
  EXPECT_EQ(FirstNonBulk(pool)->request.token, 1U);
  const auto overdue = Poll(pool, *NextPollTime(pool));
  ASSERT_EQ(overdue.size(), 1U);
  EXPECT_EQ(overdue[0].why, refusal::kWaitTooLong);
  EXPECT_FALSE(PopFirstNonBulk(pool, AtMs(300)));
}

TEST(Pool, RetriesStayWithinTheirBudget) {
  pool_state pool;
  Configure(pool, MakeTable(3, 2000), "rennes", AtMs(0));
  uint32_t retries = 0;
  for (int64_t ms = 0; ms < 10'000; ms += 10) {
    const auto decision = Open(pool, MakeRequest(1, 0), AtMs(ms));
    if (decision.what != decision_kind::kPlaced) continue;
    RecordResponse(pool, decision.upstream, 1ms, AtMs(ms));  // Avoids ejection.
    const auto other_upstream = RetryOnOtherUpstream(
        pool, MakeRequest(1, 0), decision.upstream, AtMs(ms));
    if (other_upstream) ++retries;
    EXPECT_NE(other_upstream, std::optional<uint32_t>(decision.upstream));
  }
  EXPECT_LE(retries, 100U);
  EXPECT_GE(retries, 80U);
}

TEST(Pool, LeavesConnectionsToOtherCallersOfAGreedyCaller) {
  pool_state pool;
  Configure(pool, MakeTable(1, 2), "rennes", AtMs(0));
  const auto open = [&](uint32_t caller) {
    return Open(pool, MakeRequest(caller, 0, port_kind::kFeed), AtMs(1));
  };
  EXPECT_EQ(open(2).what, decision_kind::kPlaced);
  uint32_t greedy_flows = 0;
  while (open(1).what == decision_kind::kPlaced) ++greedy_flows;
  EXPECT_EQ(open(1).why, refusal::kCallerOverShare);
  EXPECT_LT(greedy_flows, 2000U);
  EXPECT_EQ(open(2).what, decision_kind::kPlaced);
  EXPECT_EQ(open(3).what, decision_kind::kPlaced);
}

}  // namespace
}  // namespace radishyard
