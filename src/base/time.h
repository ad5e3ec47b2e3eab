// Time types on the monotonic clock, and conversions to and from milliseconds.
#pragma once
#include <chrono>

namespace radishyard {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

/// \brief An instant on the monotonic clock. Functions whose result depends on
/// the time take the present instant as an argument instead of reading the
/// clock, so that tests can use a virtual time.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \brief The instant `ms` milliseconds after the clock's origin.
inline time_point AtMs(int64_t ms) { return time_point(milliseconds(ms)); }

/// \brief Converts `d` to milliseconds, rounded towards zero.
constexpr int64_t ToMs(duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

}  // namespace radishyard
