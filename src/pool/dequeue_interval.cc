// Measures the interval between placements from the queue and predicts waits.
#include "pool/dequeue_interval.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

// Weight of a new sample in the moving average once there are many.
constexpr double kMinGain = 0.05;
// Samples required before a wait is predicted.
constexpr uint32_t kMinSamples = 8;

}  // namespace

void StartMeasuring(dequeue_interval& interval, time_point now) {
  interval.last = now;
}

void RecordDequeued(dequeue_interval& interval, size_t count, time_point now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - interval.last).count();
  const double sample_s = elapsed_s / static_cast<double>(count);
  for (size_t i = 0; i < count; ++i) {
    ++interval.samples;
    const double gain = std::max(kMinGain, 1.0 / interval.samples);
    interval.mean_s += gain * (sample_s - interval.mean_s);
  }
  interval.last = now;
}

duration PredictWait(const dequeue_interval& interval, size_t ahead) {
  if (interval.samples < kMinSamples) return {};
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      interval.mean_s * static_cast<double>(ahead + 1)));
}

}  // namespace radishyard::internal
