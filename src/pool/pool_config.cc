// Applies the table to a pool: adds, updates and removes its upstreams.
#include <algorithm>
#include <utility>

#include "pool/pool_state.h"

namespace radishyard {
namespace {

// Log of the speed assumed for a joining upstream: half the mean of the pool.
constexpr double kJoiningLogSpeed = -0.7;

const pool_upstream* FindPrevious(const pool_state& pool, uint32_t address) {
  for (const pool_upstream& u : pool.upstreams)
    if (u.address == address) return &u;
  return nullptr;
}

void StartRamp(pool_state& pool, pool_upstream& u, time_point now) {
  u.ramp_start = now;
  u.connections_at_ramp_start = u.UsedConnections();
  u.ramp_length = pool.policy.ramp;
  u.health = {};
  u.speed = {};
  SetLogSpeed(u.speed, kJoiningLogSpeed);
  pool.latest_ramp_end = std::max(pool.latest_ramp_end, now + u.ramp_length);
}

pool_upstream MergeRow(pool_state& pool, const upstream& row, time_point now) {
  const pool_upstream* old = FindPrevious(pool, row.address);
  pool_upstream u = old == nullptr ? pool_upstream{} : *old;
  const bool was_joining = old != nullptr && old->joining && !old->leaving;
  u.address = row.address;
  u.weight = row.weight;
  u.max_slots = row.slots;
  u.max_connections = row.connections;
  u.leaving = row.state == upstream_state::kLeaving || pool.evacuated;
  u.joining = row.state == upstream_state::kJoining;
  if (u.joining && !was_joining) StartRamp(pool, u, now);
  return u;
}

// Upstreams of `pool` that are missing in `next` but still have flows, marked
// as leaving.
std::vector<pool_upstream> RemovedRowsWithFlows(
    const pool_state& pool, const std::vector<pool_upstream>& next) {
  std::vector<pool_upstream> removed;
  for (const pool_upstream& old : pool.upstreams) {
    const bool stays = std::any_of(
        next.begin(), next.end(),
        [&](const pool_upstream& u) { return u.address == old.address; });
    if (stays || old.UsedConnections() == 0) continue;
    removed.push_back(old);
    removed.back().leaving = true;
  }
  return removed;
}

void UpdateTotals(pool_state& pool) {
  pool.slot_limit = 0;
  pool.connection_limit = 0;
  for (const pool_upstream& u : pool.upstreams) {
    if (u.leaving) continue;
    pool.slot_limit += u.max_slots;
    pool.connection_limit += u.max_connections;
  }
}

}  // namespace

void Configure(pool_state& pool, const service& definition,
               std::string_view domain, time_point now, bool evacuated) {
  pool.service = definition.name;
  pool.domain = std::string(domain);
  pool.evacuated = evacuated && PoolWeight(definition, domain) > 0;
  std::vector<pool_upstream> next;
  for (const upstream& row : definition.upstreams) {
    if (!definition.deleted && row.domain == domain)
      next.push_back(MergeRow(pool, row, now));
  }
  const std::vector<pool_upstream> removed = RemovedRowsWithFlows(pool, next);
  next.insert(next.end(), removed.begin(), removed.end());
  std::sort(next.begin(), next.end(),
            [](const pool_upstream& a, const pool_upstream& b) {
              return a.address < b.address;
            });
  pool.upstreams = std::move(next);
  UpdateTotals(pool);
}

uint64_t PoolWeight(const service& definition, std::string_view domain) {
  uint64_t weight = 0;
  if (definition.deleted) return 0;
  for (const upstream& row : definition.upstreams) {
    if (row.domain == domain && row.state != upstream_state::kLeaving)
      weight += row.weight;
  }
  return weight;
}

}  // namespace radishyard
