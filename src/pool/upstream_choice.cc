// Chooses an upstream for an opening: for feeds by connections relative to
// weight, for requests by their expected finish.
#include "pool/upstream_choice.h"

#include <algorithm>

#include "pool/pool_counts.h"

namespace radishyard::internal {
namespace {

// Speeds are relative to the mean speed of the pool.
// Below this speed, an upstream gets bulk requests only as a last resort.
constexpr double kMinBulkSpeed = 0.35;
// Below this speed, a request goes to another pool with room if there is one.
constexpr double kMinPreferredSpeed = 0.45;
// Exceeds the cost of any upstream that is not a last resort.
constexpr double kLastResortCost = 1e6;

// Fill to which an upstream in its ramp is compared.
struct fill_reference {
  double mean_fill = 0;  // Connections per weight of upstreams not in a ramp.
};

fill_reference MeanFill(const pool_state& pool, time_point now) {
  if (now >= pool.latest_ramp_end) return {};
  double connections = 0;
  double weight = 0;
  for (const pool_upstream& u : pool.upstreams) {
    if (u.leaving || u.RampProgress(now) < 1) continue;
    connections += u.UsedConnections();
    weight += u.weight;
  }
  return {weight > 0 ? connections / weight : 0};
}

// Connections per weight after this placement. Lower is better.
//
// An upstream in its ramp counts extra connections: as many as it lacked at the
// start of the ramp to be as full as the others, fewer as the ramp goes on. So
// it gets only its share of the new feeds at first and catches up later.
double FillAfterPlacement(const pool_upstream& u,
                          const fill_reference& reference, time_point now) {
  const double fill = (u.UsedConnections() + 1.0) / u.weight;
  const double progress = u.RampProgress(now);
  if (progress >= 1) return fill;
  // The square makes the ramp slow at first, when the upstream is coldest.
  const double ramp_share = progress * progress;
  const double missing =
      reference.mean_fill -
      static_cast<double>(u.connections_at_ramp_start) / u.weight;
  return fill + (1 - ramp_share) * std::max(0.0, missing);
}

// Slots after this placement per weight and speed, which is proportional to the
// expected finish of the request. Lower is better.
double ExpectedFinish(const pool_upstream& u, bool use_speed) {
  const double speed = use_speed ? u.speed.speed : 1;
  return (u.UsedSlots() + 1.0) / (u.weight * speed);
}

// Bulk requests go to slow upstreams first, so that the slots of fast ones
// remain for other requests. An upstream that is far slower than the pool gets
// them only if no other one has room.
double BulkCost(const pool_upstream& u) {
  const double speed = u.speed.speed;
  return speed >= kMinBulkSpeed ? speed : kLastResortCost / speed;
}

double PlacementCost(const pool_state& pool, const pool_upstream& u,
                     const choice_criteria& criteria,
                     const fill_reference& reference, time_point now) {
  if (criteria.kind == port_kind::kFeed)
    return FillAfterPlacement(u, reference, now);
  if (IsBulk(criteria.kind, criteria.priority)) return BulkCost(u);
  return ExpectedFinish(u, pool.policy.use_observed_speed);
}

bool HasRoomFor(const pool_upstream& u, port_kind kind) {
  if (u.leaving || u.weight == 0) return false;
  if (u.UsedConnections() >= u.max_connections) return false;
  return kind == port_kind::kFeed || u.UsedSlots() < u.max_slots;
}

bool IsWithinRamp(const pool_upstream& u, port_kind kind, time_point now) {
  const double progress = u.RampProgress(now);
  if (kind == port_kind::kFeed || progress >= 1) return true;
  return u.UsedSlots() < std::max(1.0, progress * u.max_slots);
}

pool_upstream* FindProbeTarget(pool_state& pool,
                               const choice_criteria& criteria,
                               time_point now) {
  if (criteria.priority == priority_class::kUrgent) return nullptr;
  for (pool_upstream& u : pool.upstreams) {
    if (IsProbeDue(u.health, now) && u.address != criteria.excluded_upstream &&
        HasRoomFor(u, criteria.kind))
      return &u;
  }
  return nullptr;
}

pool_upstream* FindCheapest(pool_state& pool, const choice_criteria& criteria,
                            bool ignore_ramps, time_point now) {
  const fill_reference reference = MeanFill(pool, now);
  pool_upstream* best = nullptr;
  double least = 0;
  for (pool_upstream& u : pool.upstreams) {
    if (u.address == criteria.excluded_upstream ||
        !CanTakeOpening(u, criteria.kind, now))
      continue;
    if (!ignore_ramps && !IsWithinRamp(u, criteria.kind, now)) continue;
    const double cost = PlacementCost(pool, u, criteria, reference, now);
    if (best != nullptr && cost >= least) continue;
    best = &u;
    least = cost;
  }
  return best;
}

}  // namespace

bool CanTakeOpening(const pool_upstream& u, port_kind kind, time_point now) {
  return IsHealthy(u.health, now) && HasRoomFor(u, kind);
}

bool IsFullButHealthy(const pool_upstream& u, port_kind kind, time_point now) {
  const bool takes_openings =
      !u.leaving && u.weight > 0 && IsHealthy(u.health, now);
  return takes_openings && !HasRoomFor(u, kind);
}

bool IsTooSlow(const pool_upstream& u, port_kind kind) {
  return kind == port_kind::kRequest && u.speed.speed < kMinPreferredSpeed;
}

pool_upstream* ChooseUpstream(pool_state& pool, const choice_criteria& criteria,
                              time_point now) {
  pool_upstream* const preferred =
      FindUpstream(pool, criteria.preferred_upstream);
  const bool use_preferred = preferred != nullptr &&
                             preferred->address != criteria.excluded_upstream &&
                             CanTakeOpening(*preferred, criteria.kind, now);
  if (use_preferred) return preferred;
  if (pool_upstream* probe = FindProbeTarget(pool, criteria, now)) return probe;
  if (pool_upstream* best = FindCheapest(pool, criteria, false, now))
    return best;
  if (now >= pool.latest_ramp_end) return nullptr;
  return FindCheapest(pool, criteria, true, now);
}

}  // namespace radishyard::internal
