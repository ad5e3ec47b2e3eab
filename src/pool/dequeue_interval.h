// Measures how fast the queue of a pool is served, to predict the wait of a new
// opening.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Exponential moving average of the interval between placements from
/// the queue.
struct dequeue_interval {
  double mean_s = 0;
  uint32_t samples = 0;
  time_point last{};  ///< Last placement, or start of the measurement.
};

namespace internal {

/// \brief Starts a measurement when the first opening enters an empty queue, so
/// that the time without a queue is not counted.
void StartMeasuring(dequeue_interval& interval, time_point now);

/// \brief Records that `count` openings were placed from the queue.
void RecordDequeued(dequeue_interval& interval, size_t count, time_point now);

/// \brief Predicted wait behind `ahead` openings; zero while there are too few
/// samples.
duration PredictWait(const dequeue_interval& interval, size_t ahead);

}  // namespace internal
}  // namespace radishyard
