// Observes requests and openings with exponentially decaying counts.
#include "direct/load/address_demand.h"

#include <algorithm>
#include <cmath>

namespace radishyard {
namespace {

/// Time constant of the counts. A balancer may see a few openings a second
/// only; in this time it observes some of each class.
constexpr double kDecaySeconds = 10;
/// Samples after which times that may contain a wait are ignored.
constexpr uint32_t kMinWorkSamples = 10;
/// Least weight of a new sample of work.
constexpr double kWorkWeight = 0.005;

double DecayFactor(const address_demand& demand, time_point now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - demand.decayed_at).count();
  return std::exp(-std::max(0.0, elapsed_s) / kDecaySeconds);
}

void DecayTo(address_demand& demand, time_point now) {
  const double factor = DecayFactor(demand, now);
  demand.openings *= factor;
  demand.placed *= factor;
  demand.requests *= factor;
  demand.decayed_at = now;
}

}  // namespace

void RecordOfferedOpening(address_demands& demands, const endpoint& address,
                          time_point now) {
  address_demand& demand = demands[address];
  DecayTo(demand, now);
  demand.openings += 1;
}

void RecordPlacedOpening(address_demands& demands, const endpoint& address,
                         time_point now) {
  const auto found = demands.find(address);
  if (found == demands.end()) return;
  DecayTo(found->second, now);
  found->second.placed += 1;
}

void RecordRequest(address_demands& demands, const endpoint& address,
                   time_point now) {
  const auto found = demands.find(address);
  if (found == demands.end()) return;
  DecayTo(found->second, now);
  found->second.requests += 1;
}

void RecordWork(address_demands& demands, const endpoint& address,
                duration elapsed, bool is_queueing) {
  const auto found = demands.find(address);
  if (found == demands.end()) return;
  address_demand& demand = found->second;
  if (is_queueing && demand.work_samples >= kMinWorkSamples) return;
  const double sample_s = std::chrono::duration<double>(elapsed).count();
  // A count that wrapped to 0 would give an infinite weight.
  if (demand.work_samples < UINT32_MAX) ++demand.work_samples;
  const double weight = std::max(kWorkWeight, 1.0 / demand.work_samples);
  demand.work_s += weight * (sample_s - demand.work_s);
}

double RequestsPerFlow(const address_demand& demand) {
  return std::max(1.0, demand.requests / std::max(1.0, demand.placed));
}

double OpeningsPerSecond(const address_demand& demand, time_point now) {
  return demand.openings * DecayFactor(demand, now) / kDecaySeconds;
}

}  // namespace radishyard
