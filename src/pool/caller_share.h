// What each caller holds in a pool, and its fair share.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief What one caller holds and waits for.
struct caller_use {
  uint32_t connections = 0;
  uint32_t slots = 0;
  uint32_t waiting = 0;  ///< Openings in the queue.
  bool empty() const { return connections == 0 && slots == 0 && waiting == 0; }
};

/// \brief Use by caller address.
/// Invariants: no entry is empty; `requesting` counts the entries that hold or
/// wait for a slot; `next_turn` has callers of `by_address` only, those that
/// have waited, so that the others cost less.
struct caller_table {
  absl::flat_hash_map<uint32_t, caller_use> by_address;
  /// Earliest turn of the caller's next opening in the queue.
  absl::flat_hash_map<uint32_t, time_point> next_turn;
  uint32_t requesting = 0;
};

namespace internal {

/// \brief Changes the use of `caller`; counts do not fall below zero.
void ChangeUse(caller_table& callers, uint32_t caller, int connections,
               int slots, int waiting);

caller_use UseOf(const caller_table& callers, uint32_t caller);

/// \brief Earliest turn of the caller's next opening; none is set before its
/// first.
time_point NextTurn(const caller_table& callers, uint32_t caller);

/// \brief Turn of the caller's next opening in the queue.
///
/// Turns of one caller are spaced by the interval at which each caller would be
/// served if all got the same, so that one that opens more waits behind the
/// others, and still gets what they leave.
/// \param interval Time between placements out of the queue.
time_point TakeTurn(caller_table& callers, uint32_t caller, duration interval,
                    time_point now);

/// \brief Connections that each caller may hold once they are short.
uint32_t ConnectionShare(const caller_table& callers,
                         uint32_t total_connections);

}  // namespace internal
}  // namespace radishyard
