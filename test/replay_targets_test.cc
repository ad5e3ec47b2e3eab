// The stated outcomes of the policy under load, by replay over the real
// decisions, and that each fails with its mechanism switched off.
#include <gtest/gtest.h>

#include "support/replay_metrics.h"
#include "support/replay_scenarios.h"

namespace radishyard::test {
namespace {

using end = flow_outcome::kind;
using fault = upstream_fault::kind;

struct run {
  scenario s;
  replay_result result;
  explicit run(scenario from) : s(std::move(from)) {
    result = Replay(s.setup, s.trace);
  }
  replay_view View(int64_t from_ms = 0, int64_t to_ms = 1'000'000) const {
    return {s.setup, s.trace, result, from_ms, to_ms};
  }
};

class replay_targets
    : public testing::TestWithParam<std::tuple<workload, uint64_t>> {
 protected:
  workload users = std::get<0>(GetParam());
  uint64_t seed = std::get<1>(GetParam());
};

INSTANTIATE_TEST_SUITE_P(
    Traces, replay_targets,
    testing::Combine(testing::Values(workload::kArmor, workload::kAtlasColle),
                     testing::Values(1, 2, 3)));

TEST_P(replay_targets, FeedsAreWithinFivePercentOfTheirWeights) {
  const run r(ManyFeeds(users, seed));
  EXPECT_LE(Imbalance(r.View(0, 50'000)), 0.05);
  EXPECT_EQ(r.result.violations, 0U);
}

TEST_P(replay_targets, CrestAtTwiceTheCapacityIsServedAndRefusedEarly) {
  const run r(PeakLoad(users, seed));
  EXPECT_GE(UsedCapacityShare(r.View(10'500, 15'000)), 0.95);
  EXPECT_LE(LatestRefusalMs(r.View()), 250);
  // Steady p99 again within 5 s; a round trip more is within the noise of it.
  const double steady =
      WaitMs(r.View(2'000, 10'000), request_group::kShort, 99);
  const double after =
      WaitMs(r.View(20'000, 40'000), request_group::kShort, 99);
  EXPECT_LE(after, steady + 0.001 * 2 * r.s.setup.hop_us);
  EXPECT_EQ(r.result.violations, 0U);
}

TEST_P(replay_targets, LongWorkDoesNotHoldShortWorkUp) {
  const run with(SteadyLoad(users, 0.8, 0.03, seed));
  const run without(SteadyLoad(users, 0.8, 0, seed));
  scenario uncapped = with.s;
  uncapped.setup.policy.bulk_cap_percent = 100;
  uncapped.setup.policy.bulk_soft_limit_percent = 100;
  const run off(std::move(uncapped));
  for (request_group set : {request_group::kShort, request_group::kUrgent}) {
    EXPECT_LE(WaitMs(with.View(), set, 99),
              1.5 * WaitMs(without.View(), set, 99));
  }
  EXPECT_GT(WaitMs(off.View(), request_group::kShort, 99),
            1.5 * WaitMs(without.View(), request_group::kShort, 99));
  // No starvation: a long request starts within 10 s or is refused at once.
  EXPECT_LE(WaitMs(with.View(), request_group::kLong, 100), 10'100);
  const auto done = Count(with.View(), request_group::kLong, end::kCompleted);
  const auto refused = Count(with.View(), request_group::kLong, end::kRefused);
  EXPECT_GE(done, 0.95 * (done + refused));
}

TEST_P(replay_targets, LongWorkStillFinishesAtTheCrest) {
  const run r(PeakLoad(users, seed));
  const replay_view crest = r.View(10'500, 15'000);
  EXPECT_GT(Count(crest, request_group::kLong, end::kCompleted), 0U);
  EXPECT_LE(WaitMs(crest, request_group::kLong, 100), 10'100);
}

TEST_P(replay_targets, SlowUpstreamTakesAtMostItsShareBySpeed) {
  const run r(LoadWithFault(users, {3, 0, 0, fault::kSlow, 0.125}, seed));
  const replay_view late = r.View(12'000, 25'000);
  const double speed = r.s.setup.speeds[3] * 0.125;
  const double all = Capacity(r.s.setup) / r.s.setup.table.upstreams[3].slots -
                     r.s.setup.speeds[3] + speed;
  EXPECT_LE(Placements(late, 3) / static_cast<double>(Placements(late, -1)),
            speed / all);
}

TEST_P(replay_targets, BlackHolesGetProbesOnlyAndRetriesStayInBudget) {
  for (fault what : {fault::kBlackHole, fault::kFailFast}) {
    const run r(LoadWithFault(users, {3, 0, 0, what, 1}, seed));
    // Probes double their interval from 0.5 s to 8 s: at most 8 in 14 s.
    const replay_view late = r.View(11'000, 25'000);
    EXPECT_LE(Placements(late, 3) + Placements(late, 3, port_kind::kFeed), 8U);
    EXPECT_LE(RetryShare(r.View()), 0.10);
    EXPECT_GT(Placements(r.View(34'000, 40'000), 3), 0U) << "never came back";
  }
  const run shed(LoadWithFault(users, {3, 0, 0, fault::kShed, 0.5}, seed));
  const replay_view late = shed.View(12'000, 25'000);
  EXPECT_LE(RetryShare(shed.View()), 0.10);
  EXPECT_LE(Placements(late, 3) / static_cast<double>(Placements(late, -1)),
            1.0 / 14);
}

TEST_P(replay_targets, JoiningUpstreamRampsAndTheRampYields) {
  const run calm(UpstreamJoins(users, 0.5, seed));
  scenario at_once = calm.s;
  at_once.setup.policy.ramp = {};
  const run off(std::move(at_once));
  const auto feeds = [](const run& r) {
    return Placements(r.View(10'000, 11'000), 3, port_kind::kFeed) /
           static_cast<double>(
               Placements(r.View(10'000, 11'000), -1, port_kind::kFeed));
  };
  EXPECT_LE(feeds(calm), 2.0 / 14);
  EXPECT_GT(feeds(off), 2.0 / 14);
  // When all others are full, all of its slots are used: nothing is left idle.
  const run full(UpstreamJoins(users, 2.0, seed));
  EXPECT_GE(UsedCapacityShare(full.View(16'000, 25'000)), 0.95);
}

TEST_P(replay_targets, GreedyCallerTakesAtMostItsShare) {
  scenario s = GreedyCaller(users, seed);
  const run r(s);
  s.setup.policy.enforce_caller_share = false;
  const run off(std::move(s));
  const double share = 1.0 / 11;
  EXPECT_LE(CallerShare(r.View(5'000, 30'000), kGreedyCaller), share);
  EXPECT_GT(CallerShare(off.View(5'000, 30'000), kGreedyCaller), share);
  EXPECT_GE(UsedCapacityShare(r.View(5'000, 30'000)), 0.95);
}

TEST_P(replay_targets, BalancerLostAtTheCrest) {
  const run r(PeakLoadWithLostBalancer(users, seed));
  EXPECT_EQ(r.result.violations, 0U);
  EXPECT_LE(RetryShare(r.View()), 0.10);
  EXPECT_LE(WaitMs(r.View(20'000, 40'000), request_group::kShort, 99),
            WaitMs(r.View(2'000, 8'000), request_group::kShort, 99) +
                0.001 * 2 * r.s.setup.hop_us);
}

TEST_P(replay_targets, BeatsTheBaselines) {
  scenario s = SteadyLoad(users, 0.8, 0.03, seed);
  const run own(s);
  for (placement_strategy strategy :
       {placement_strategy::kRoundRobin, placement_strategy::kConsistentHash,
        placement_strategy::kLeastConnections}) {
    s.setup.strategy = strategy;
    const run baseline(s);
    EXPECT_LT(WaitMs(own.View(), request_group::kShort, 99),
              WaitMs(baseline.View(), request_group::kShort, 99));
    EXPECT_GT(baseline.result.violations, 0U);
  }
  EXPECT_EQ(own.result.violations, 0U);
}

}  // namespace
}  // namespace radishyard::test
