// Durations of the lease on non-idempotent requests, and the condition under
// which the leases of two successive owners cannot overlap.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Bound of the rate error of a monotonic clock, fast or slow: a time
/// daemon may slew it by 83,333 ppm, and the oscillator is off by up to
/// 200 ppm.
constexpr int64_t kMaxClockRateErrorPpm = 83'533;

constexpr int64_t kPartsPerMillion = 1'000'000;

/// \brief Bound of the rate at which one balancer's clock gains on another's,
/// if the one is fast and the other slow: (1 + r) / (1 - r) - 1, rounded up.
constexpr int64_t kMaxRelativeDriftPpm =
    (2 * kMaxClockRateErrorPpm * kPartsPerMillion) /
        (kPartsPerMillion - kMaxClockRateErrorPpm) +
    1;

/// \brief Longest time that a packet, or a duplicate of it, is in transit.
constexpr duration kMaxPacketLifetime = 500ms;

/// \brief Durations of the lease. Each balancer measures them on its own
/// monotonic clock.
/// Invariant, except in tests: LeaseEndsBeforeTakeover. The settings are
/// checked for it.
struct lease_times {
  duration lease = 1500ms;  ///< The lease lasts for this time after the owner
                            ///< sent the heartbeat or update that grants it.
  duration takeover_wait = 2500ms;  ///< A new owner waits for this time after
                                    ///< it received the roster that names it.
  duration release_wait =
      kMaxPacketLifetime;  ///< The same wait if the previous owner released the
                           ///< pool itself: only its last packets may be late.
  auto operator<=>(const lease_times&) const = default;
};

/// \brief True if an owner with a slow clock has stopped placing requests, and
/// the last of them has arrived, before a successor with a fast clock begins.
constexpr bool LeaseEndsBeforeTakeover(const lease_times& times) {
  const duration longest_lease =
      times.lease + times.lease * kMaxRelativeDriftPpm / kPartsPerMillion;
  return longest_lease + kMaxPacketLifetime < times.takeover_wait;
}

static_assert(LeaseEndsBeforeTakeover(lease_times{}));

}  // namespace radishyard
