// Constants of the policy.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Constants of the policy, in one place so that a replay may vary them.
struct pool_policy {
  duration max_wait = 250ms;     ///< Longest wait in the queue.
  uint32_t max_waiting = 256;    ///< Longest queue.
  duration ramp = 10s;           ///< From a join to the full share.
  duration retry_window = 10s;   ///< Window of the retry budget.
  uint32_t retry_percent = 10;   ///< Second placements per 100 first ones.
  duration inherited_age = 60s;  ///< An inherited flow that stays silent for so
                                 ///< long has ended.
  bool learn_speed = true;       ///< Requests go by observed speed.
  auto operator<=>(const pool_policy&) const = default;
};

}  // namespace radishyard
