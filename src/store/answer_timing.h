// How soon a change in a store is known although the store has lost a request.
//
// A store that was overloaded or unreachable for a moment may never answer a
// request that it received then, while it answers all later ones. The TCP
// connection stays intact, and a lost watch looks like one without changes.
// Only the time without an answer reveals the loss. Each wait for an answer is
// therefore bounded, and nothing counts as confirmed before an answer arrives.
#pragma once
#include <algorithm>
#include <compare>

#include "base/time.h"

namespace radishyard {

/// \brief Longest usual duration of a read of a store.
inline constexpr duration kReadTimeAllowance = 300ms;

/// \brief Least time between two answers, whatever the bound. It limits the
/// calls to the store.
inline constexpr duration kMinAnswerInterval = 200ms;

/// \brief What follows a request that is not answered.
struct answer_timing {
  /// A request fails after this time; a watch, after its wait and this time.
  duration timeout{};
  /// Longest delay between that failure and the request that replaces it.
  duration retry_delay{};
  auto operator<=>(const answer_timing&) const = default;
};

/// \brief Time from the moment at which a lost answer was due until the answer
/// to the request that replaces it.
constexpr duration LostAnswerDelay(const answer_timing& timing) {
  return timing.timeout + timing.retry_delay + kReadTimeAllowance;
}

/// \brief The longest wait of a watch, or pause between two reads, with which a
/// change is known within `bound`.
///
/// With one lost answer: interval + LostAnswerDelay() <= bound. With a read
/// that fails at once, there is time for another: 2 * interval <= bound. A
/// bound below kMinAnswerInterval + LostAnswerDelay() cannot be kept if an
/// answer is lost.
constexpr duration MaxAnswerInterval(duration bound,
                                     const answer_timing& timing) {
  const duration interval =
      std::min(bound / 2, bound - LostAnswerDelay(timing));
  return std::max(interval, kMinAnswerInterval);
}

/// \brief The time at which the result of a watch was current. The store may
/// have waited, so it is not the time of the request.
constexpr time_point WatchResultTime(time_point requested_at,
                                     time_point answered_at) {
  return std::max(requested_at, answered_at - kReadTimeAllowance);
}

}  // namespace radishyard
