// What the owner learns of an upstream's speed from the requests it completes.
#pragma once
#include <array>
#include <cstdint>

#include "base/time.h"
#include "pool/pool.h"

namespace radishyard {

/// \brief Number of priority classes.
inline constexpr size_t kPriorityClasses = 3;

/// \brief Typical time that a request holds its slot, by priority class, at an
/// upstream of speed 1. Logarithms, so that rare long requests weigh little.
struct hold_model {
  std::array<double, kPriorityClasses> log_hold_s{};
  std::array<uint32_t, kPriorityClasses> samples{};
};

/// \brief Speed of one upstream against its pool.
struct upstream_speed {
  double log_speed = 0;
  uint32_t samples = 0;
  double speed = 1;  ///< exp(log_speed) within its bounds.
};

/// \brief Learns from a request of `priority` that held its slot for `held`.
///
/// The time is compared with the typical one of its class, so that an upstream
/// that happens to serve long requests does not look slow.
void Learn(hold_model& model, upstream_speed& upstream, priority_class priority,
           duration held);

/// \brief Takes `log_speed` as a first guess.
void Guess(upstream_speed& upstream, double log_speed);

}  // namespace radishyard
