// Compares the steady clock with its last reading, and with the clock that
// counts suspensions.
#include "direct/interruption.h"

#include <ctime>

namespace radishyard {
namespace {

/// Shorter suspensions of the VM are ignored.
constexpr duration kMinSuspension = 300ms;
/// Shorter gaps between packets or maintenance runs are no pause.
constexpr duration kMinPause = 500ms;

}  // namespace

time_point ReadSuspensionClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

std::optional<duration> interruption_monitor::DetectPause(time_point now) {
  const duration elapsed = now - last_active_at_;
  last_active_at_ = now;
  return elapsed < kMinPause ? std::nullopt : std::optional(elapsed);
}

std::optional<duration> interruption_monitor::DetectSuspension() {
  const duration suspended = MeasureSuspendedTime();
  const duration elapsed = suspended - suspended_time_;
  suspended_time_ = suspended;
  return elapsed < kMinSuspension ? std::nullopt : std::optional(elapsed);
}

duration interruption_monitor::MeasureSuspendedTime() {
  return ReadSuspensionClock() - std::chrono::steady_clock::now();
}

}  // namespace radishyard
