// Timers of the stand-ins: one ordered queue instead of a system timer each.
#pragma once
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace radishyard {

/// \brief Actions ordered by due time. An action that has become pointless
/// checks for that itself; there is no cancellation.
class timer_queue {
 public:
  using action = std::function<void(time_point now)>;

  void Schedule(time_point due, action run) {
    due_.emplace(due, std::move(run));
  }

  /// \brief Runs what is due at `now`, in order of due time.
  void RunDue(time_point now) {
    while (!due_.empty() && due_.begin()->first <= now) {
      auto node = due_.extract(due_.begin());
      node.mapped()(now);
    }
  }

  size_t size() const { return due_.size(); }

 private:
  std::multimap<time_point, action> due_;
};

}  // namespace radishyard
