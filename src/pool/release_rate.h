// How fast waiting openings are placed: what a new one would have to wait.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Interval between placements out of the queue, smoothed.
struct release_rate {
  double interval_s = 0;
  uint32_t samples = 0;
  time_point last{};  ///< Last placement, or when the queue began to fill.
};

namespace internal {

/// \brief The queue was empty and begins to fill.
void StartWaiting(release_rate& rate, time_point now);

/// \brief `count` waiting openings were placed.
void NoteReleased(release_rate& rate, size_t count, time_point now);

/// \brief Predicted wait behind `ahead` openings; zero while little is known.
duration PredictWait(const release_rate& rate, size_t ahead);

}  // namespace internal
}  // namespace radishyard
