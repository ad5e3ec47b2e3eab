// Choice of an upstream for one opening: feeds go by connections relative to
// weight, requests by their expected finish.
#include "pool/upstream_choice.h"

#include <algorithm>

#include "pool/pool_counts.h"

namespace radishyard::internal {
namespace {

constexpr double kFarSlower = 0.35;  // Of the pool's mean speed.
constexpr double kWorthPassing = 0.45;
constexpr double kLastResort = 1e6;

// What an upstream in its ramp counts on top of its connections: as if it were
// as full as the others, less so with time. It then gets its part of the new
// feeds at first, and catches up later.
struct ramp_level {
  double mean_fill = 0;  // Connections per weight of the others.
};

ramp_level LevelOf(const pool_state& pool, time_point now) {
  if (now >= pool.ramps_until) return {};
  double connections = 0;
  double weight = 0;
  for (const pool_upstream& u : pool.upstreams) {
    if (u.leaving || u.RampShare(now) < 1) continue;
    connections += u.UsedConnections();
    weight += u.weight;
  }
  return {weight > 0 ? connections / weight : 0};
}

// Connections after this placement relative to weight. Lower is better.
double Fill(const pool_upstream& u, const ramp_level& level, time_point now) {
  const double fill = (u.UsedConnections() + 1.0) / u.weight;
  const double ramp = u.RampShare(now);
  if (ramp >= 1) return fill;
  const double share = ramp * ramp;  // Slow at first: it is coldest then.
  const double missing =
      level.mean_fill - static_cast<double>(u.ramp_connections) / u.weight;
  return fill + (1 - share) * std::max(0.0, missing);
}

// Slots after this placement relative to weight and speed. Lower is better.
double ExpectedFinish(const pool_upstream& u, bool by_speed) {
  const double speed = by_speed ? u.speed.speed : 1;
  return (u.UsedSlots() + 1.0) / (u.weight * speed);
}

// Bulk goes to slow upstreams first, so that fast slots turn over short work;
// to one that is far slower than the pool only where nothing else is left.
double BulkCost(const pool_upstream& u) {
  const double speed = u.speed.speed;
  return speed >= kFarSlower ? speed : kLastResort / speed;
}

double Cost(const pool_state& pool, const pool_upstream& u,
            const choice_need& need, const ramp_level& level, time_point now) {
  if (need.kind == port_kind::kFeed) return Fill(u, level, now);
  if (IsBulk(need.kind, need.priority)) return BulkCost(u);
  return ExpectedFinish(u, pool.policy.use_observed_speed);
}

bool HasRoomFor(const pool_upstream& u, port_kind kind) {
  if (u.leaving || u.weight == 0) return false;
  if (u.UsedConnections() >= u.max_connections) return false;
  return kind == port_kind::kFeed || u.UsedSlots() < u.max_slots;
}

bool WithinRamp(const pool_upstream& u, port_kind kind, time_point now) {
  const double share = u.RampShare(now);
  if (kind == port_kind::kFeed || share >= 1) return true;
  return u.UsedSlots() < std::max(1.0, share * u.max_slots);
}

pool_upstream* FindProbe(pool_state& pool, const choice_need& need,
                         time_point now) {
  if (need.priority == priority_class::kUrgent) return nullptr;
  for (pool_upstream& u : pool.upstreams) {
    if (IsProbeDue(u.health, now) && u.address != need.except &&
        HasRoomFor(u, need.kind))
      return &u;
  }
  return nullptr;
}

pool_upstream* Cheapest(pool_state& pool, const choice_need& need,
                        bool ramps_yield, time_point now) {
  const ramp_level level = LevelOf(pool, now);
  pool_upstream* best = nullptr;
  double least = 0;
  for (pool_upstream& u : pool.upstreams) {
    if (u.address == need.except || !TakesNew(u, need.kind, now)) continue;
    if (!ramps_yield && !WithinRamp(u, need.kind, now)) continue;
    const double cost = Cost(pool, u, need, level, now);
    if (best != nullptr && cost >= least) continue;
    best = &u;
    least = cost;
  }
  return best;
}

}  // namespace

bool TakesNew(const pool_upstream& u, port_kind kind, time_point now) {
  return IsHealthy(u.health, now) && HasRoomFor(u, kind);
}

bool LacksRoom(const pool_upstream& u, port_kind kind, time_point now) {
  const bool takes_any = !u.leaving && u.weight > 0 && IsHealthy(u.health, now);
  return takes_any && !HasRoomFor(u, kind);
}

bool IsWorthPassing(const pool_upstream& u, port_kind kind) {
  return kind == port_kind::kRequest && u.speed.speed < kWorthPassing;
}

pool_upstream* Choose(pool_state& pool, const choice_need& need,
                      time_point now) {
  pool_upstream* const before = FindUpstream(pool, need.preferred);
  const bool is_first = before != nullptr && before->address != need.except &&
                        TakesNew(*before, need.kind, now);
  if (is_first) return before;
  if (pool_upstream* probe = FindProbe(pool, need, now)) return probe;
  if (pool_upstream* best = Cheapest(pool, need, false, now)) return best;
  if (now >= pool.ramps_until) return nullptr;
  return Cheapest(pool, need, true, now);
}

}  // namespace radishyard::internal
