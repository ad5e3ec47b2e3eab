// Constants of the policy.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Constants of the policy, in one place so that a replay may vary them.
struct pool_policy {
  /// Longest wait of urgent and normal openings.
  duration max_wait = 250ms;
  /// Longest queue of these.
  uint32_t max_waiting = 256;
  /// An urgent opening overtakes normal ones that came up to this much earlier.
  duration urgent_head_start = 1s;
  /// Longest wait of bulk openings.
  duration max_bulk_wait = 10s;
  /// A bulk opening that waited so long goes first while bulk holds less than
  /// its floor.
  duration bulk_patience = 250ms;
  /// Share of slots that waiting bulk gets whatever else waits.
  uint32_t bulk_floor_percent = 25;
  /// Largest share of slots that bulk takes while there is other work.
  uint32_t bulk_cap_percent = 60;
  /// Without other work for so long, bulk has no cap.
  duration quiet = 10s;
  /// From a join to the full share.
  duration ramp = 10s;
  /// Window of the retry budget.
  duration retry_window = 10s;
  /// Second placements per 100 first ones.
  uint32_t retry_percent = 10;
  /// An inherited flow that stays silent for so long has ended.
  duration inherited_age = 60s;
  /// Requests go by observed speed.
  bool learn_speed = true;
  auto operator<=>(const pool_policy&) const = default;
};

}  // namespace radishyard
