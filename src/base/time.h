// Time as the decisions see it: a monotonic instant handed in by the caller.
#pragma once
#include <chrono>

namespace radishyard {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

/// \brief An instant on the monotonic clock. Functions that decide take it as
/// an argument.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \brief The instant `ms` after the clock's origin; handy where time is
/// virtual.
inline time_point AtMs(int64_t ms) { return time_point(milliseconds(ms)); }

/// \brief Whole milliseconds in `d`, rounded towards zero.
inline int64_t ToMs(duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

}  // namespace radishyard
