// Counts the connections and slots that flows hold at the upstreams of a pool,
// and limits the slots that bulk requests may take.
#pragma once
#include <cstdint>

#include "pool/pool_state.h"

namespace radishyard::internal {

/// \brief The upstream with this address, or nullptr if the pool has none.
pool_upstream* FindUpstream(pool_state& pool, uint32_t address);

/// \brief Counts the connection and slot of `reservation` at `u`, and in the
/// totals of the pool and of the caller.
void Reserve(pool_state& pool, pool_upstream& u,
             const flow_reservation& reservation);

/// \brief Reverts Reserve(). A count never falls below zero.
void Release(pool_state& pool, pool_upstream& u,
             const flow_reservation& reservation);

/// \brief Removes inherited counts whose timeout has passed: the flows that
/// have not been added by then have ended.
void ExpireInherited(pool_state& pool, time_point now);

/// \brief Whether this is a bulk request. Feeds are never bulk, whatever their
/// priority.
bool IsBulk(port_kind kind, priority_class priority);

/// \brief Number of slots up to which bulk requests that have waited for
/// `bulk_promotion_wait` go before other work.
uint32_t BulkFloorSlots(const pool_state& pool);

/// \brief Whether one more bulk request may take a slot under the limits of the
/// policy.
bool MayBulkTakeSlot(const pool_state& pool, time_point now);

/// \brief Most slots that bulk requests may hold: all of them if no other
/// request has arrived within `bulk_uncapped_after`.
uint32_t BulkCapSlots(const pool_state& pool, time_point now);

}  // namespace radishyard::internal
