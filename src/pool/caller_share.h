// Tracks what each caller holds and waits for in a pool, and computes each
// caller's fair share.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Connections and slots that one caller holds, and its queued openings.
struct caller_use {
  uint32_t connections = 0;
  uint32_t slots = 0;
  uint32_t waiting = 0;  ///< Openings in the queue of the pool.
  bool empty() const { return connections == 0 && slots == 0 && waiting == 0; }
};

/// \brief The callers that hold or wait for something in a pool.
///
/// Invariants: No entry of `by_address` is empty. `slot_callers` is the number
/// of callers that hold a slot or have an opening in the queue. Each key of
/// `next_virtual_start` is also in `by_address`. Callers that never waited have
/// no entry in `next_virtual_start`, which saves memory.
struct caller_table {
  absl::flat_hash_map<uint32_t, caller_use> by_address;
  /// Earliest virtual start time of the next opening that the caller queues.
  absl::flat_hash_map<uint32_t, time_point> next_virtual_start;
  uint32_t slot_callers = 0;
};

namespace internal {

/// \brief Adds `connections`, `slots` and `waiting`, which may be negative, to
/// the counts of `caller`. A count never falls below zero. An entry whose
/// counts are all zero is removed.
void AdjustUse(caller_table& callers, uint32_t caller, int connections,
               int slots, int waiting);

/// \brief Counts of `caller`; all zero if it has no entry.
caller_use FindUse(const caller_table& callers, uint32_t caller);

/// \brief Earliest virtual start time of the next opening that `caller` queues.
/// \returns The clock's origin if the caller has not queued an opening yet.
time_point NextVirtualStart(const caller_table& callers, uint32_t caller);

/// \brief Counts one more queued opening of `caller` and assigns its virtual
/// start time, the key by which the queue is sorted (as in start-time fair
/// queueing).
///
/// The virtual start times of one caller are spaced by the interval at which
/// the caller would be served if all callers got the same rate. A caller that
/// sends more openings than its share therefore waits behind the others, but
/// still gets the capacity that they leave unused.
/// \param interval Mean time between two placements from the queue.
time_point AssignVirtualStart(caller_table& callers, uint32_t caller,
                              duration interval, time_point now);

/// \brief Number of connections that each caller may hold while the pool is
/// close to its connection limit.
uint32_t ConnectionShare(const caller_table& callers,
                         uint32_t connection_limit);

}  // namespace internal
}  // namespace radishyard
