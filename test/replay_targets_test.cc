// Tests that the placement policy reaches its targets under load. Each test
// replays a generated trace in virtual time through the real decisions of the
// pool; several also check that the target is missed if the mechanism behind it
// is switched off.
#include <gtest/gtest.h>

#include "support/replay_metrics.h"
#include "support/replay_scenarios.h"

namespace radishyard::test {
namespace {

using outcome = flow_outcome::kind;
using fault_kind = upstream_fault::kind;

// A scenario and the result of its replay.
struct replay_run {
  scenario input;
  replay_result result;
  explicit replay_run(scenario from) : input(std::move(from)) {
    result = Replay(input.setup, input.trace);
  }
  replay_window View(int64_t from_ms = 0, int64_t to_ms = 1'000'000) const {
    return {input.setup, input.trace, result, from_ms, to_ms};
  }
};

class replay_targets
    : public testing::TestWithParam<std::tuple<workload, uint64_t>> {
 protected:
  workload load = std::get<0>(GetParam());
  uint64_t seed = std::get<1>(GetParam());
};

INSTANTIATE_TEST_SUITE_P(
    Traces, replay_targets,
    testing::Combine(testing::Values(workload::kArmor, workload::kAtlasColle),
                     testing::Values(1, 2, 3)));

TEST_P(replay_targets, FeedsAreWithinFivePercentOfTheirWeights) {
  const replay_run r(ManyFeeds(load, seed));
  EXPECT_LE(MaxWeightImbalance(r.View(0, 50'000)), 0.05);
  EXPECT_EQ(r.result.limit_violations, 0U);
}

TEST_P(replay_targets, ServesAPeakOfTwiceTheCapacityAndRefusesTheRestEarly) {
  const replay_run r(PeakLoad(load, seed));
  EXPECT_GE(UsedCapacityShare(r.View(10'500, 15'000)), 0.95);
  EXPECT_LE(MaxRefusalDelayMs(r.View()), 250);
  // The p99 of the wait is back to its steady value within 5 s. One round trip
  // more is within the noise.
  const double steady =
      WaitMs(r.View(2'000, 10'000), request_group::kShort, 99);
  const double after =
      WaitMs(r.View(20'000, 40'000), request_group::kShort, 99);
  EXPECT_LE(after, steady + 0.001 * 2 * r.input.setup.balancer_latency_us);
  EXPECT_EQ(r.result.limit_violations, 0U);
}

TEST_P(replay_targets, LongRequestsDoNotDelayShortOnes) {
  const replay_run with_long(SteadyLoad(load, 0.8, 0.03, seed));
  const replay_run without_long(SteadyLoad(load, 0.8, 0, seed));
  scenario uncapped_scenario = with_long.input;
  uncapped_scenario.setup.policy.bulk_cap_percent = 100;
  uncapped_scenario.setup.policy.bulk_soft_limit_percent = 100;
  const replay_run uncapped(std::move(uncapped_scenario));
  for (request_group set : {request_group::kShort, request_group::kUrgent}) {
    EXPECT_LE(WaitMs(with_long.View(), set, 99),
              1.5 * WaitMs(without_long.View(), set, 99));
  }
  EXPECT_GT(WaitMs(uncapped.View(), request_group::kShort, 99),
            1.5 * WaitMs(without_long.View(), request_group::kShort, 99));
  // Long requests do not starve: each starts within 10 s or is refused at once.
  EXPECT_LE(WaitMs(with_long.View(), request_group::kLong, 100), 10'100);
  const auto completed = CountRequests(with_long.View(), request_group::kLong,
                                       outcome::kCompleted);
  const auto refused =
      CountRequests(with_long.View(), request_group::kLong, outcome::kRefused);
  EXPECT_GE(completed, 0.95 * (completed + refused));
}

TEST_P(replay_targets, LongRequestsCompleteDuringAPeak) {
  const replay_run r(PeakLoad(load, seed));
  const replay_window peak = r.View(10'500, 15'000);
  EXPECT_GT(CountRequests(peak, request_group::kLong, outcome::kCompleted), 0U);
  EXPECT_LE(WaitMs(peak, request_group::kLong, 100), 10'100);
}

TEST_P(replay_targets, SlowUpstreamGetsAtMostItsShareBySpeed) {
  const replay_run r(
      LoadWithFault(load, {3, 0, 0, fault_kind::kSlow, 0.125}, seed));
  const replay_window during_fault = r.View(12'000, 25'000);
  const double slow_speed = r.input.setup.speeds[3] * 0.125;
  const double total_speed =
      ComputeCapacity(r.input.setup) / r.input.setup.table.upstreams[3].slots -
      r.input.setup.speeds[3] + slow_speed;
  EXPECT_LE(CountPlacements(during_fault, 3) /
                static_cast<double>(CountPlacements(during_fault, -1)),
            slow_speed / total_speed);
}

TEST_P(replay_targets, FailedUpstreamsGetProbesOnlyAndRetriesStayInBudget) {
  for (fault_kind kind : {fault_kind::kBlackHole, fault_kind::kFailFast}) {
    const replay_run r(LoadWithFault(load, {3, 0, 0, kind, 1}, seed));
    // The interval between probes doubles from 0.5 s to 8 s, so there are at
    // most 8 of them in 14 s.
    const replay_window during_fault = r.View(11'000, 25'000);
    EXPECT_LE(CountPlacements(during_fault, 3) +
                  CountPlacements(during_fault, 3, port_kind::kFeed),
              8U);
    EXPECT_LE(MaxRetryShare(r.View()), 0.10);
    EXPECT_GT(CountPlacements(r.View(34'000, 40'000), 3), 0U)
        << "got no flows after its recovery";
  }
  const replay_run shedding(
      LoadWithFault(load, {3, 0, 0, fault_kind::kShed, 0.5}, seed));
  const replay_window during_fault = shedding.View(12'000, 25'000);
  EXPECT_LE(MaxRetryShare(shedding.View()), 0.10);
  EXPECT_LE(CountPlacements(during_fault, 3) /
                static_cast<double>(CountPlacements(during_fault, -1)),
            1.0 / 14);
}

TEST_P(replay_targets, JoiningUpstreamRampsUpUnlessAllOthersAreFull) {
  const replay_run with_ramp(UpstreamJoins(load, 0.5, seed));
  scenario without_ramp_scenario = with_ramp.input;
  without_ramp_scenario.setup.policy.ramp = {};
  const replay_run without_ramp(std::move(without_ramp_scenario));
  const auto feed_share = [](const replay_run& r) {
    return CountPlacements(r.View(10'000, 11'000), 3, port_kind::kFeed) /
           static_cast<double>(
               CountPlacements(r.View(10'000, 11'000), -1, port_kind::kFeed));
  };
  EXPECT_LE(feed_share(with_ramp), 2.0 / 14);
  EXPECT_GT(feed_share(without_ramp), 2.0 / 14);
  // If all others are full, the ramp does not apply: no slot is left idle.
  const replay_run overloaded(UpstreamJoins(load, 2.0, seed));
  EXPECT_GE(UsedCapacityShare(overloaded.View(16'000, 25'000)), 0.95);
}

TEST_P(replay_targets, GreedyCallerGetsAtMostItsShare) {
  scenario s = GreedyCaller(load, seed);
  const replay_run r(s);
  s.setup.policy.enforce_caller_share = false;
  const replay_run without_fairness(std::move(s));
  const double share = 1.0 / 11;
  EXPECT_LE(CallerSlotShare(r.View(5'000, 30'000), kGreedyCaller), share);
  EXPECT_GT(
      CallerSlotShare(without_fairness.View(5'000, 30'000), kGreedyCaller),
      share);
  EXPECT_GE(UsedCapacityShare(r.View(5'000, 30'000)), 0.95);
}

TEST_P(replay_targets, RecoversFromABalancerLostDuringAPeak) {
  const replay_run r(PeakLoadWithLostBalancer(load, seed));
  EXPECT_EQ(r.result.limit_violations, 0U);
  EXPECT_LE(MaxRetryShare(r.View()), 0.10);
  EXPECT_LE(WaitMs(r.View(20'000, 40'000), request_group::kShort, 99),
            WaitMs(r.View(2'000, 8'000), request_group::kShort, 99) +
                0.001 * 2 * r.input.setup.balancer_latency_us);
}

TEST_P(replay_targets, HasShorterWaitsThanTheBaselines) {
  scenario s = SteadyLoad(load, 0.8, 0.03, seed);
  const replay_run policy(s);
  for (placement_strategy strategy :
       {placement_strategy::kRoundRobin, placement_strategy::kConsistentHash,
        placement_strategy::kLeastConnections}) {
    s.setup.strategy = strategy;
    const replay_run baseline(s);
    EXPECT_LT(WaitMs(policy.View(), request_group::kShort, 99),
              WaitMs(baseline.View(), request_group::kShort, 99));
    EXPECT_GT(baseline.result.limit_violations, 0U);
  }
  EXPECT_EQ(policy.result.limit_violations, 0U);
}

}  // namespace
}  // namespace radishyard::test
