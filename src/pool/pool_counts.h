// Exact counts of a pool: what flows hold at upstreams, by class and by caller.
#pragma once
#include <cstdint>

#include "pool/pool_state.h"

namespace radishyard::internal {

/// \brief The upstream of `address`; none where the pool does not have it.
pool_upstream* FindUpstream(pool_state& pool, uint32_t address);

/// \brief Counts `flow` at `u`.
void Take(pool_state& pool, pool_upstream& u, const flow_reservation& flow);

/// \brief Frees what `flow` holds at `u`.
void Give(pool_state& pool, pool_upstream& u, const flow_reservation& flow);

/// \brief Forgets inherited flows that stayed silent for too long.
void AgeInherited(pool_state& pool, time_point now);

/// \brief Whether a request is bulk; feeds never are.
bool IsBulk(port_kind kind, priority_class priority);

/// \brief Slots that waiting bulk gets whatever else waits.
uint32_t BulkFloor(const pool_state& pool);

/// \brief Whether one more bulk request may take a slot.
bool BulkMayTake(const pool_state& pool, time_point now);

/// \brief Slots that bulk may hold: all of them while there is no other work.
uint32_t BulkCap(const pool_state& pool, time_point now);

}  // namespace radishyard::internal
