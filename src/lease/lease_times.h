// The two spans of the lease on unsafe work, and why they fit each other.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// Most by which a monotonic clock may run fast or slow: a time daemon may slew
/// it by 83,333 ppm, and the oscillator is off by up to 200 ppm.
constexpr int64_t kClockRatePpm = 83'533;

constexpr int64_t kPpm = 1'000'000;

/// Most by which one balancer's clock may gain on another's, where the one is
/// slow and the other fast: (1 + r) / (1 - r) - 1.
constexpr int64_t kMarginPpm =
    (2 * kClockRatePpm * kPpm) / (kPpm - kClockRatePpm) + 1;

/// Most time that a packet, or a copy of it, is on its way.
constexpr duration kMaxPacketLifetime = 500ms;

/// \brief Spans of the lease. Each is measured by one balancer on its own
/// monotonic clock.
/// Invariant of the product's values: LeaseEndsBeforeTakeover.
struct lease_times {
  duration lease = 1500ms;  ///< The owner places for so long after it sent what
                            ///< was acknowledged.
  duration takeover_wait = 2500ms;  ///< A new owner waits for so long after it
                                    ///< learned of its ownership.
  duration released_wait = kMaxPacketLifetime;  ///< The wait after a release by
                                                ///< the owner before.
  auto operator<=>(const lease_times&) const = default;
};

/// \brief True where an owner with a slow clock has stopped, and its last
/// request arrived, before a successor with a fast clock begins.
constexpr bool LeaseEndsBeforeTakeover(const lease_times& times) {
  const duration longest = times.lease + times.lease * kMarginPpm / kPpm;
  return longest + kMaxPacketLifetime < times.takeover_wait;
}

static_assert(LeaseEndsBeforeTakeover(lease_times{}));

}  // namespace radishyard
