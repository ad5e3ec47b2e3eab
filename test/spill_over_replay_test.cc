// Replays of overload in one failure domain, without a network, against the
// targets of docs/hard-load.md. Each runs with spill-over off and on. With
// SPILL_REPLAY_BALANCERS set in the environment, only that number of balancers
// is replayed.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numbers>
#include <string>

#include "support/direct_replay.h"

namespace radishyard {
namespace {

using testing_replay::domain_result;
using testing_replay::kDomains;
using testing_replay::replay_result;
using testing_replay::scenario;

replay_result RunPrinted(const char* name, const scenario& plan) {
  replay_result r = testing_replay::Replay(plan);
  std::printf(
      "%-10s %3zu %-3s value %.3f %.3f %.3f rejected %.3f foreign %.3f "
      "busiest %.2f reversals %d bytes/s %.0f lost %.0f |",
      name, plan.balancers, plan.spill_over ? "on" : "off",
      r.domains[0].Value(), r.domains[1].Value(), r.domains[2].Value(),
      r.rejected / (r.served + r.rejected), r.foreign_openings / r.openings,
      r.busiest, r.reversals, r.foreign_bytes_per_s, r.lost_after_cut);
  for (const double s : r.spilled) std::printf(" %.2f", s);
  std::printf("\n");
  return r;
}

class spill_over_replay : public testing::TestWithParam<size_t> {
 protected:
  /// Runs `plan` with the part off, then on.
  std::array<replay_result, 2> RunBoth(const char* name, scenario plan) {
    plan.balancers = GetParam();
    const replay_result before = RunPrinted(name, plan);
    plan.spill_over = true;
    return {before, RunPrinted(name, plan)};
  }
};

double SpikeOfFirstDomain(size_t domain, double t) {
  return domain == 0 && t >= 5 && t < 14 ? 4 : 1;
}

// Guards against flows that leave their domain by noise in the sums, and
// against balancers that all choose the same upstream.
TEST_P(spill_over_replay, QuietLoadStaysInItsDomain) {
  const auto [before, after] = RunBoth("quiet", {});
  EXPECT_LE(after.busiest, 1.3);
  EXPECT_EQ(after.foreign_openings, 0);
}

// Guards against rejections beside idle domains, and against shares that swing.
TEST_P(spill_over_replay, FourfoldLoadOfOneDomain) {
  const auto [before, after] =
      RunBoth("fourfold", {.load = SpikeOfFirstDomain});
  EXPECT_GE(after.domains[0].Value(), 0.97);
  EXPECT_GE(after.domains[1].Value(), 0.98);
  EXPECT_GE(after.domains[2].Value(), 0.98);
  // Retries hide most rejections in the value, so they are checked as well.
  EXPECT_LE(after.rejected, before.rejected / 2);
  EXPECT_LE(after.busiest, 1.3);
  EXPECT_LE(after.reversals, 1);
}

// Guards against shares that follow the peak a quarter of a period late.
TEST_P(spill_over_replay, MovingPeak) {
  const auto swing = [](size_t domain, double t) {
    const double phase = t / 13 + static_cast<double>(domain) / kDomains;
    return 1 + 0.55 * std::sin(2 * std::numbers::pi * phase);
  };
  RunBoth("peak", {.load = swing, .until = 32});
  const auto [before, after] =
      RunBoth("high-peak", {.utilization = 0.65, .load = swing, .until = 32});
  for (const domain_result& d : after.domains) EXPECT_GE(d.Value(), 0.97);
  // Each period of 13 s has one turn in each direction.
  EXPECT_LE(after.reversals, 5);
}

// Guards against slow upstreams that get as many flows as fast ones.
TEST_P(spill_over_replay, AThirdOfOneDomainIsSlow) {
  const auto slowness = [](size_t domain, uint32_t index) {
    return domain == 0 && index % 3 == 0 ? 6.0 : 1.0;
  };
  const auto [before, after] =
      RunBoth("slow", {.utilization = 0.5, .slowness = slowness});
  EXPECT_GE(after.domains[0].Value(), 0.97);
  EXPECT_LE(after.busiest, 1.3);
}

// Guards against overflow that goes on to a domain that does not answer.
TEST_P(spill_over_replay, APartitionedNeighbourIsLeft) {
  const auto [before, after] =
      RunBoth("partition", {.load = SpikeOfFirstDomain, .cut_at = 9});
  EXPECT_GE(after.domains[0].Value(), before.domains[0].Value());
  // A few openings in the first timeout and probes at growing intervals for
  // each balancer of the overloaded domain.
  constexpr double kMaxLost = 15;
  const double members = std::ceil(static_cast<double>(GetParam()) / kDomains);
  EXPECT_LE(after.lost_after_cut, kMaxLost * members);
}

// Guards against the whole load of a lost domain on one of the others.
TEST_P(spill_over_replay, TheLoadOfAnEvacuatedDomainIsDivided) {
  const auto [before, after] = RunBoth("evacuated", {.evacuated_at = 6});
  for (const domain_result& d : after.domains) EXPECT_GE(d.Value(), 0.98);
  EXPECT_LE(after.rejected, 0.01 * after.served);
}

std::vector<size_t> BalancerCounts() {
  const char* const only = std::getenv("SPILL_REPLAY_BALANCERS");
  if (only != nullptr) return {std::stoul(only)};
  return {8, 78, 300};
}

INSTANTIATE_TEST_SUITE_P(Balancers, spill_over_replay,
                         testing::ValuesIn(BalancerCounts()));

}  // namespace
}  // namespace radishyard
