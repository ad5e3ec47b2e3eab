// Delay between attempts to reach a peer or a server: exponential backoff with
// jitter.
#pragma once
#include "base/time.h"

namespace radishyard {

/// \brief Bounds of the delay between attempts.
struct backoff_policy {
  duration first = 100ms;  ///< Full delay after the first failed attempt.
  duration longest = 5s;   ///< Upper bound of the full delay.
  auto operator<=>(const backoff_policy&) const = default;
};

/// \brief Delay after a failed attempt. The full delay doubles with each
/// attempt up to `policy.longest`; the jitter then reduces it to a value
/// between one half and the whole of the full delay.
///
/// The jitter keeps balancers that lost the same peer from reconnecting to it
/// at the same moment. It depends only on `seed` and `attempt`, so equal
/// arguments give equal delays.
/// \param attempt number of the failed attempt, counted from 0.
/// \param seed should differ between balancers.
duration ComputeBackoffDelay(const backoff_policy& policy, unsigned attempt,
                             uint64_t seed);

}  // namespace radishyard
