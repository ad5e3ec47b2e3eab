// Counting of flows.
#include "pool/pool_counts.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

uint32_t PartOfSlots(const pool_state& pool, uint32_t percent) {
  return std::max(1U, pool.total_slots * percent / 100);
}

uint32_t FreeSlots(const pool_state& pool) {
  uint32_t used = 0;
  for (const pool_upstream& u : pool.upstreams)
    if (!u.leaving) used += std::min(u.max_slots, u.UsedSlots());
  return pool.total_slots - used;
}

}  // namespace

pool_upstream* FindUpstream(pool_state& pool, uint32_t address) {
  const auto it = std::lower_bound(
      pool.upstreams.begin(), pool.upstreams.end(), address,
      [](const pool_upstream& u, uint32_t a) { return u.address < a; });
  if (it == pool.upstreams.end() || it->address != address) return nullptr;
  return &*it;
}

void Take(pool_state& pool, pool_upstream& u, const flow_reservation& flow) {
  const bool request = flow.kind == port_kind::kRequest;
  ++u.connections;
  if (request) ++u.slots;
  if (IsBulk(flow.kind, flow.priority)) ++pool.bulk_slots;
  ChangeUse(pool.callers, flow.caller, 1, request ? 1 : 0, 0);
}

void Give(pool_state& pool, pool_upstream& u, const flow_reservation& flow) {
  const bool request = flow.kind == port_kind::kRequest;
  if (u.connections > 0) --u.connections;
  if (request && u.slots > 0) --u.slots;
  if (IsBulk(flow.kind, flow.priority) && pool.bulk_slots > 0)
    --pool.bulk_slots;
  ChangeUse(pool.callers, flow.caller, -1, request ? -1 : 0, 0);
}

void AgeInherited(pool_state& pool, time_point now) {
  if (pool.inherited_until <= now && pool.inherited_until != time_point{}) {
    for (pool_upstream& u : pool.upstreams) u.inherited_connections = 0;
    pool.inherited_until = {};
  }
  if (pool.inherited_slots_until <= now &&
      pool.inherited_slots_until != time_point{}) {
    for (pool_upstream& u : pool.upstreams) u.inherited_slots = 0;
    pool.inherited_slots_until = {};
  }
}

bool IsBulk(port_kind kind, priority_class priority) {
  return kind == port_kind::kRequest && priority == priority_class::kBulk;
}

uint32_t BulkFloor(const pool_state& pool) {
  return PartOfSlots(pool, pool.policy.bulk_floor_percent);
}

bool BulkMayTake(const pool_state& pool, time_point now) {
  if (pool.bulk_slots >= BulkCap(pool, now)) return false;
  const bool alone = now - pool.short_work_at > pool.policy.quiet;
  if (alone ||
      pool.bulk_slots < PartOfSlots(pool, pool.policy.bulk_soft_percent))
    return true;
  return FreeSlots(pool) > PartOfSlots(pool, pool.policy.bulk_reserve_percent);
}

uint32_t BulkCap(const pool_state& pool, time_point now) {
  if (now - pool.short_work_at > pool.policy.quiet) return pool.total_slots;
  return PartOfSlots(pool, pool.policy.bulk_cap_percent);
}

}  // namespace radishyard::internal
