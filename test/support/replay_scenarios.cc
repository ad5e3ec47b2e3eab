// The situations that the policy is measured in.
#include "support/replay_scenarios.h"

namespace radishyard::test {
namespace {

constexpr uint32_t kRows = 14;
constexpr uint32_t kDomains = 3;

replay_setup SetupOf(workload w) {
  const bool armor = w == workload::kArmor;
  replay_setup setup = MakeSetup(kRows, armor ? 2 : 3, kDomains);
  setup.balancer_latency_us = armor ? 1000 : 500;
  setup.upstream_hop_us = 200;
  return setup;
}

// Notes and alerts at Armor; price checks and orders, shorter, at Atlas Colle.
trace_shape ShapeOf(workload w, uint64_t seed) {
  trace_shape shape{.seed = seed};
  if (w == workload::kAtlasColle) {
    shape.work_us = 60'000;
    shape.urgent_share = 0.2;
    shape.callers = 400;
  }
  return shape;
}

void SetLoad(trace_shape& shape, const replay_setup& setup, double load) {
  shape.rate = load * ComputeCapacity(setup) * 1e6 / MeanWork(shape);
}

scenario Finished(const replay_setup& setup, const trace_shape& shape) {
  return {setup, Recorded(GenerateTrace(shape))};
}

}  // namespace

scenario SteadyLoad(workload w, double load, double long_share, uint64_t seed) {
  const replay_setup setup = SetupOf(w);
  trace_shape shape = ShapeOf(w, seed);
  shape.long_share = long_share;
  shape.length_ms = 60'000;
  SetLoad(shape, setup, load);
  return Finished(setup, shape);
}

scenario ManyFeeds(workload w, uint64_t seed) {
  replay_setup setup = SetupOf(w);
  for (size_t r = 0; r < kRows; ++r)
    setup.table.upstreams[r].weight = static_cast<uint32_t>(10 + 5 * (r % 3));
  trace_shape shape = ShapeOf(w, seed);
  shape.rate = 0;
  shape.feed_rate = 500;
  shape.feed_life_ms = 20'000;
  shape.length_ms = 60'000;
  return Finished(setup, shape);
}

scenario FeedsAndRequests(workload w, double load, uint64_t seed) {
  const replay_setup setup = SetupOf(w);
  trace_shape shape = ShapeOf(w, seed);
  shape.length_ms = 60'000;
  shape.feed_rate = 200;
  SetLoad(shape, setup, load);
  return Finished(setup, shape);
}

scenario PeakLoad(workload w, uint64_t seed) {
  const replay_setup setup = SetupOf(w);
  trace_shape shape = ShapeOf(w, seed);
  shape.peak_from_ms = 10'000;
  shape.peak_to_ms = 15'000;
  shape.peak_factor = 10;
  shape.length_ms = 40'000;
  shape.feed_rate = 20;
  SetLoad(shape, setup, 0.2);
  return Finished(setup, shape);
}

scenario LoadWithFault(workload w, upstream_fault fault, uint64_t seed) {
  replay_setup setup = SetupOf(w);
  fault.from_ms = 10'000;
  fault.to_ms = 25'000;
  setup.faults.push_back(fault);
  trace_shape shape = ShapeOf(w, seed);
  shape.long_share = 0;
  shape.feed_rate = 50;
  shape.length_ms = 40'000;
  SetLoad(shape, setup, 0.7);
  return Finished(setup, shape);
}

scenario UpstreamJoins(workload w, double load, uint64_t seed) {
  replay_setup setup = SetupOf(w);
  const size_t row = 3;  // The fastest of the first domain.
  service later = setup.table;
  later.upstreams[row].state = upstream_state::kJoining;
  setup.table.upstreams[row].state = upstream_state::kLeaving;
  setup.edits.push_back({10'000, later});
  setup.faults.push_back({row, 10'000, 15'000, upstream_fault::kind::kCold, 1});
  trace_shape shape = ShapeOf(w, seed);
  shape.long_share = 0;
  shape.feed_rate = 50;
  SetLoad(shape, setup, load);
  return Finished(setup, shape);
}

scenario GreedyCaller(workload w, uint64_t seed) {
  const replay_setup setup = SetupOf(w);
  trace_shape shape = ShapeOf(w, seed);
  shape.long_share = 0;
  shape.callers = 10;
  shape.greedy_share = 0.5;
  SetLoad(shape, setup, 2.4);
  return Finished(setup, shape);
}

scenario PeakLoadWithLostBalancer(workload w, uint64_t seed) {
  scenario s = PeakLoad(w, seed);
  s.setup.lost_at_ms = 12'000;
  s.setup.faults.push_back(
      {5, 8'000, 40'000, upstream_fault::kind::kSlow, 0.2});
  s.setup.faults.push_back(
      {6, 11'000, 40'000, upstream_fault::kind::kBlackHole, 1});
  return s;
}

}  // namespace radishyard::test
