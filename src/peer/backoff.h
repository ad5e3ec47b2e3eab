// Delay between attempts to reach a peer.
#pragma once
#include "base/time.h"

namespace radishyard {

/// \brief Bounds of the delay between attempts.
struct backoff_policy {
  duration first = 100ms;
  duration longest = 5s;
  auto operator<=>(const backoff_policy&) const = default;
};

/// \brief Delay after failed attempt number `attempt` (0, 1, ...): doubles up
/// to the longest, then is cut to between a half and the whole of that by a
/// jitter that `seed` and `attempt` fix.
///
/// The jitter keeps balancers that lost the same peer from dialing it in step.
duration ComputeBackoffDelay(const backoff_policy& policy, unsigned attempt,
                             uint64_t seed);

}  // namespace radishyard
