// Counts flows at upstreams and limits the slots that bulk requests hold.
#include "pool/pool_counts.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

uint32_t PercentOfSlots(const pool_state& pool, uint32_t percent) {
  return std::max(1U, pool.slot_limit * percent / 100);
}

uint32_t CountFreeSlots(const pool_state& pool) {
  uint32_t used = 0;
  for (const pool_upstream& u : pool.upstreams)
    if (!u.leaving) used += std::min(u.max_slots, u.UsedSlots());
  return pool.slot_limit - used;
}

}  // namespace

pool_upstream* FindUpstream(pool_state& pool, uint32_t address) {
  const auto it = std::lower_bound(
      pool.upstreams.begin(), pool.upstreams.end(), address,
      [](const pool_upstream& u, uint32_t a) { return u.address < a; });
  if (it == pool.upstreams.end() || it->address != address) return nullptr;
  return &*it;
}

void Reserve(pool_state& pool, pool_upstream& u,
             const flow_reservation& reservation) {
  const bool is_request = reservation.kind == port_kind::kRequest;
  ++u.connections;
  if (is_request) ++u.slots;
  if (IsBulk(reservation.kind, reservation.priority)) ++pool.used_bulk_slots;
  AdjustUse(pool.callers, reservation.caller, 1, is_request ? 1 : 0, 0);
}

void Release(pool_state& pool, pool_upstream& u,
             const flow_reservation& reservation) {
  const bool is_request = reservation.kind == port_kind::kRequest;
  if (u.connections > 0) --u.connections;
  if (is_request && u.slots > 0) --u.slots;
  if (IsBulk(reservation.kind, reservation.priority) &&
      pool.used_bulk_slots > 0)
    --pool.used_bulk_slots;
  AdjustUse(pool.callers, reservation.caller, -1, is_request ? -1 : 0, 0);
}

void ExpireInherited(pool_state& pool, time_point now) {
  if (pool.inherited_connections_expiry <= now &&
      pool.inherited_connections_expiry != time_point{}) {
    for (pool_upstream& u : pool.upstreams) u.inherited_connections = 0;
    pool.inherited_connections_expiry = {};
  }
  if (pool.inherited_slots_expiry <= now &&
      pool.inherited_slots_expiry != time_point{}) {
    for (pool_upstream& u : pool.upstreams) u.inherited_slots = 0;
    pool.inherited_slots_expiry = {};
  }
}

bool IsBulk(port_kind kind, priority_class priority) {
  return kind == port_kind::kRequest && priority == priority_class::kBulk;
}

uint32_t BulkFloorSlots(const pool_state& pool) {
  return PercentOfSlots(pool, pool.policy.bulk_floor_percent);
}

bool MayBulkTakeSlot(const pool_state& pool, time_point now) {
  if (pool.used_bulk_slots >= BulkCapSlots(pool, now)) return false;
  const bool no_other_work =
      now - pool.newest_non_bulk_request > pool.policy.bulk_uncapped_after;
  if (no_other_work ||
      pool.used_bulk_slots <
          PercentOfSlots(pool, pool.policy.bulk_soft_limit_percent))
    return true;
  return CountFreeSlots(pool) >
         PercentOfSlots(pool, pool.policy.bulk_reserve_percent);
}

uint32_t BulkCapSlots(const pool_state& pool, time_point now) {
  if (now - pool.newest_non_bulk_request > pool.policy.bulk_uncapped_after)
    return pool.slot_limit;
  return PercentOfSlots(pool, pool.policy.bulk_cap_percent);
}

}  // namespace radishyard::internal
