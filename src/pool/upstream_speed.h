// Estimates the speed of an upstream from the requests that it completes.
#pragma once
#include <array>
#include <cstdint>

#include "base/time.h"
#include "pool/pool.h"

namespace radishyard {

/// \brief Number of priority classes.
inline constexpr size_t kPriorityClasses = 3;

/// \brief Typical time that a request holds its slot, by priority class, at an
/// upstream of speed 1. It is an average of logarithms, so that rare long
/// requests have little weight.
struct hold_time_model {
  std::array<double, kPriorityClasses> typical_log_hold_s{};
  std::array<uint32_t, kPriorityClasses> samples{};
};

/// \brief Speed of one upstream relative to its pool.
struct upstream_speed {
  double log_speed = 0;  ///< Natural logarithm, limited to +-3.
  uint32_t samples = 0;
  double speed = 1;  ///< exp(log_speed).
};

/// \brief Updates the model and the speed from a completed request of
/// `priority` that held its slot for `hold_time`.
///
/// The time is compared with the typical one of its priority class, so that an
/// upstream that happens to serve long requests does not appear slow.
void RecordHoldTime(hold_time_model& model, upstream_speed& upstream,
                    priority_class priority, duration hold_time);

/// \brief Sets the speed, limited to the range of upstream_speed.
void SetLogSpeed(upstream_speed& upstream, double log_speed);

}  // namespace radishyard
