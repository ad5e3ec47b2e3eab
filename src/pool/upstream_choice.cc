// Choice of an upstream for one opening: feeds go by connections relative to
// weight, requests by their expected finish.
#include "pool/upstream_choice.h"

namespace radishyard::internal {
namespace {

constexpr double kSlowestForBulk = 0.35;  // Of the pool's mean speed.
constexpr double kLastResort = 1e6;

// Connections after this placement relative to weight. Lower is better.
double Fill(const pool_upstream& u) {
  return (u.UsedConnections() + 1.0) / u.weight;
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
  return speed >= kSlowestForBulk ? speed : kLastResort / speed;
}

double Cost(const pool_state& pool, const pool_upstream& u, port_kind kind,
            bool bulk) {
  if (kind == port_kind::kFeed) return Fill(u);
  if (bulk) return BulkCost(u);
  return ExpectedFinish(u, pool.policy.learn_speed);
}

}  // namespace

bool TakesNew(const pool_upstream& u, port_kind kind, time_point now) {
  if (u.leaving || u.weight == 0 || now < u.ejected_until) return false;
  if (u.UsedConnections() >= u.max_connections) return false;
  return kind == port_kind::kFeed || u.UsedSlots() < u.max_slots;
}

pool_upstream* Choose(pool_state& pool, port_kind kind, uint32_t except,
                      time_point now, bool bulk) {
  pool_upstream* best = nullptr;
  double least = 0;
  for (pool_upstream& u : pool.upstreams) {
    if (u.address == except || !TakesNew(u, kind, now)) continue;
    const double cost = Cost(pool, u, kind, bulk);
    if (best != nullptr && cost >= least) continue;
    best = &u;
    least = cost;
  }
  return best;
}

}  // namespace radishyard::internal
