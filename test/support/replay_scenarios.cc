// Builds the setups and traces of the scenarios.
#include "support/replay_scenarios.h"

namespace radishyard::test {
namespace {

constexpr uint32_t kUpstreamCount = 14;
constexpr uint32_t kDomainCount = 3;

replay_setup MakeWorkloadSetup(workload w) {
  const bool armor = w == workload::kArmor;
  replay_setup setup = MakeSetup(kUpstreamCount, armor ? 2 : 3, kDomainCount);
  setup.balancer_latency_us = armor ? 1000 : 500;
  setup.upstream_latency_us = 200;
  return setup;
}

// Armor sends notes and alerts. Atlas Colle sends price checks and orders,
// which are shorter, more often urgent, and come from more callers.
trace_shape MakeTraceShape(workload w, uint64_t seed) {
  trace_shape shape{.seed = seed};
  if (w == workload::kAtlasColle) {
    shape.work_us = 60'000;
    shape.urgent_share = 0.2;
    shape.callers = 400;
  }
  return shape;
}

void SetLoad(trace_shape& shape, const replay_setup& setup, double load) {
  shape.request_rate =
      load * ComputeCapacity(setup) * 1e6 / MeanRequestWorkUs(shape);
}

scenario MakeScenario(const replay_setup& setup, const trace_shape& shape) {
  return {setup, RoundTripThroughJson(GenerateTrace(shape))};
}

}  // namespace

scenario SteadyLoad(workload w, double load, double long_share, uint64_t seed) {
  const replay_setup setup = MakeWorkloadSetup(w);
  trace_shape shape = MakeTraceShape(w, seed);
  shape.long_share = long_share;
  shape.duration_ms = 60'000;
  SetLoad(shape, setup, load);
  return MakeScenario(setup, shape);
}

scenario ManyFeeds(workload w, uint64_t seed) {
  replay_setup setup = MakeWorkloadSetup(w);
  for (size_t r = 0; r < kUpstreamCount; ++r)
    setup.table.upstreams[r].weight = static_cast<uint32_t>(10 + 5 * (r % 3));
  trace_shape shape = MakeTraceShape(w, seed);
  shape.request_rate = 0;
  shape.feed_rate = 500;
  shape.feed_duration_ms = 20'000;
  shape.duration_ms = 60'000;
  return MakeScenario(setup, shape);
}

scenario FeedsAndRequests(workload w, double load, uint64_t seed) {
  const replay_setup setup = MakeWorkloadSetup(w);
  trace_shape shape = MakeTraceShape(w, seed);
  shape.duration_ms = 60'000;
  shape.feed_rate = 200;
  SetLoad(shape, setup, load);
  return MakeScenario(setup, shape);
}

scenario PeakLoad(workload w, uint64_t seed) {
  const replay_setup setup = MakeWorkloadSetup(w);
  trace_shape shape = MakeTraceShape(w, seed);
  shape.peak_from_ms = 10'000;
  shape.peak_to_ms = 15'000;
  shape.peak_factor = 10;
  shape.duration_ms = 40'000;
  shape.feed_rate = 20;
  SetLoad(shape, setup, 0.2);
  return MakeScenario(setup, shape);
}

scenario LoadWithFault(workload w, upstream_fault fault, uint64_t seed) {
  replay_setup setup = MakeWorkloadSetup(w);
  fault.from_ms = 10'000;
  fault.to_ms = 25'000;
  setup.faults.push_back(fault);
  trace_shape shape = MakeTraceShape(w, seed);
  shape.long_share = 0;
  shape.feed_rate = 50;
  shape.duration_ms = 40'000;
  SetLoad(shape, setup, 0.7);
  return MakeScenario(setup, shape);
}

scenario UpstreamJoins(workload w, double load, uint64_t seed) {
  replay_setup setup = MakeWorkloadSetup(w);
  const size_t upstream_index = 3;  // The fastest upstream of the first domain.
  service joined_table = setup.table;
  joined_table.upstreams[upstream_index].state = upstream_state::kJoining;
  setup.table.upstreams[upstream_index].state = upstream_state::kLeaving;
  setup.table_updates.push_back({10'000, joined_table});
  setup.faults.push_back(
      {upstream_index, 10'000, 15'000, upstream_fault::kind::kCold, 1});
  trace_shape shape = MakeTraceShape(w, seed);
  shape.long_share = 0;
  shape.feed_rate = 50;
  SetLoad(shape, setup, load);
  return MakeScenario(setup, shape);
}

scenario GreedyCaller(workload w, uint64_t seed) {
  const replay_setup setup = MakeWorkloadSetup(w);
  trace_shape shape = MakeTraceShape(w, seed);
  shape.long_share = 0;
  shape.callers = 10;
  shape.greedy_caller_share = 0.5;
  SetLoad(shape, setup, 2.4);
  return MakeScenario(setup, shape);
}

scenario PeakLoadWithLostBalancer(workload w, uint64_t seed) {
  scenario s = PeakLoad(w, seed);
  s.setup.owner_lost_at_ms = 12'000;
  s.setup.faults.push_back(
      {5, 8'000, 40'000, upstream_fault::kind::kSlow, 0.2});
  s.setup.faults.push_back(
      {6, 11'000, 40'000, upstream_fault::kind::kBlackHole, 1});
  return s;
}

}  // namespace radishyard::test
