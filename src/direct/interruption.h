// Detects that this process or its VM did not run for a while. What other
// balancers reported before may no longer hold afterwards.
#pragma once
#include <optional>

#include "base/time.h"

namespace radishyard {

/// \brief The present instant on the clock that counts suspensions of the VM.
time_point ReadSuspensionClock();

/// \brief Observes the clocks of one process.
class interruption_monitor {
 public:
  /// \brief Records that the process runs at `now`, on the steady clock. To be
  /// called for each packet and several times a second.
  /// \returns the time since the last call if that is long enough for a pause.
  std::optional<duration> DetectPause(time_point now);

  /// \brief Detects a suspension of the VM, during which the steady clock
  /// stands still.
  /// \returns its length, which the ages of everything known have to be
  /// increased by; nothing if the VM was not suspended since the last call.
  std::optional<duration> DetectSuspension();

 private:
  /// Total time since boot in which the VM was suspended, at the last call.
  duration suspended_time_ = MeasureSuspendedTime();
  time_point last_active_at_ = std::chrono::steady_clock::now();

  static duration MeasureSuspendedTime();
};

}  // namespace radishyard
