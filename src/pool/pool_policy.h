// Constants of the policy.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Constants of the policy, in one place so that a replay may vary them.
struct pool_policy {
  /// Longest wait of urgent and normal openings; with the way to the pool, a
  /// refusal comes within 250 ms.
  duration max_wait = 230ms;
  /// Longest queue of these.
  uint32_t max_waiting = 256;
  /// An urgent opening overtakes normal ones that came up to this much earlier.
  duration urgent_head_start = 1s;
  /// Bulk openings that may wait for each slot that bulk may take.
  uint32_t max_bulk_waiting_per_slot = 4;
  /// Longest wait of bulk openings.
  duration max_bulk_wait = 10s;
  /// A bulk opening that waited so long goes first while bulk holds less than
  /// its floor.
  duration bulk_patience = 250ms;
  /// Share of slots that waiting bulk gets whatever else waits.
  uint32_t bulk_floor_percent = 25;
  /// Largest share of slots that bulk takes while there is other work.
  uint32_t bulk_cap_percent = 70;
  /// Above this share, bulk takes a slot only where others stay free.
  uint32_t bulk_soft_percent = 50;
  /// Share of slots that stay free then.
  uint32_t bulk_reserve_percent = 30;
  /// Without other work for so long, bulk has no cap.
  duration quiet = 10s;
  /// From a join to the full share.
  duration ramp = 10s;
  /// The same after an ejection.
  duration recovery_ramp = 2s;
  /// Second placements per 100 first ones in any 10 s.
  uint32_t retry_percent = 10;
  /// An inherited flow that stays silent for so long has ended.
  duration inherited_age = 8s;
  /// An inherited request that stays silent for so long has ended.
  duration inherited_slot_age = 5s;
  /// Requests go by observed speed.
  bool use_observed_speed = true;
  /// Callers that open more than their share wait behind the others.
  bool enforce_caller_share = true;
  /// Openings whose predicted wait is too long are refused at once.
  bool refuse_on_predicted_wait = true;
  /// Use of the connections from which on callers are held to their share.
  uint32_t connections_short_percent = 90;
  auto operator<=>(const pool_policy&) const = default;
};

}  // namespace radishyard
