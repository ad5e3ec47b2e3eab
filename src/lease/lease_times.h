// Durations of the lease that allows the owner of a pool to place
// non-idempotent requests, and the condition under which the leases of two
// successive owners cannot overlap.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Bound of the rate error of a monotonic clock, fast or slow: a time
/// daemon may slew it by 83,333 ppm, and the oscillator is off by up to
/// 200 ppm.
constexpr int64_t kMaxClockRateErrorPpm = 83'533;

constexpr int64_t kPartsPerMillion = 1'000'000;

/// \brief Bound of the relative rate at which a fast clock gains on a slow one:
/// (1 + r) / (1 - r) - 1, rounded up, where r is kMaxClockRateErrorPpm as a
/// fraction.
constexpr int64_t kMaxRelativeDriftPpm =
    (2 * kMaxClockRateErrorPpm * kPartsPerMillion) /
        (kPartsPerMillion - kMaxClockRateErrorPpm) +
    1;

/// \brief Longest time that a packet, or a duplicate of it, is in transit.
constexpr duration kMaxPacketLifetime = 500ms;

/// \brief Durations of the lease and of the wait of a new owner. Each balancer
/// measures them on its own monotonic clock.
/// Invariant, except in tests: LeaseEndsBeforeTakeover. The settings are
/// checked for it.
struct lease_times {
  /// The lease ends this long after the owner sent the heartbeat that its
  /// successors acknowledged, or the roster update that the store confirmed.
  duration lease = 1500ms;
  /// A new owner places non-idempotent requests only this long after it
  /// received the roster that names it as the owner.
  duration takeover_wait = 2500ms;
  /// Replaces takeover_wait if the previous owner has released the pool. It has
  /// then stopped placing requests, and only its last packets may still be in
  /// transit.
  duration release_wait = kMaxPacketLifetime;
  auto operator<=>(const lease_times&) const = default;
};

/// \brief True if an owner with a slow clock has stopped placing requests, and
/// the last of them has reached its upstream, before a new owner with a fast
/// clock starts placing requests.
constexpr bool LeaseEndsBeforeTakeover(const lease_times& times) {
  const duration longest_lease =
      times.lease + times.lease * kMaxRelativeDriftPpm / kPartsPerMillion;
  return longest_lease + kMaxPacketLifetime < times.takeover_wait;
}

static_assert(LeaseEndsBeforeTakeover(lease_times{}));

}  // namespace radishyard
