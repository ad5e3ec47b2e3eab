// Prediction of waits.
#include "pool/release_rate.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

constexpr double kGain = 0.05;
constexpr uint32_t kEnough = 8;  // Samples before a prediction.

}  // namespace

void StartWaiting(release_rate& rate, time_point now) { rate.last = now; }

void NoteReleased(release_rate& rate, size_t count, time_point now) {
  const double passed_s =
      std::chrono::duration<double>(now - rate.last).count();
  const double each_s = passed_s / static_cast<double>(count);
  for (size_t i = 0; i < count; ++i) {
    ++rate.samples;
    const double gain = std::max(kGain, 1.0 / rate.samples);
    rate.interval_s += gain * (each_s - rate.interval_s);
  }
  rate.last = now;
}

duration PredictWait(const release_rate& rate, size_t ahead) {
  if (rate.samples < kEnough) return {};
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      rate.interval_s * static_cast<double>(ahead + 1)));
}

}  // namespace radishyard::internal
