// Timers of the stand-ins. A single ordered queue replaces one system timer per
// action.
#pragma once
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace radishyard {

/// \brief Actions ordered by due time. They cannot be cancelled: an action
/// itself checks whether it is still needed.
class timer_queue {
 public:
  using action = std::function<void(time_point now)>;

  /// \brief Schedules an action.
  void Schedule(time_point due, action run) {
    due_.emplace(due, std::move(run));
  }

  /// \brief Runs the actions that are due at `now`, in order of due time.
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
