// Estimates the speeds of upstreams from the hold times of requests.
#include "pool/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace radishyard {
namespace {

// Shorter hold times count as this one, which bounds their logarithm.
constexpr double kMinHoldS = 1e-5;
// Weights of a new sample in the moving averages once there are many.
constexpr double kMinUpstreamGain = 0.1;
constexpr double kMinModelGain = 0.01;
// Limits speeds to a factor of 20 in each direction.
constexpr double kMaxAbsLogSpeed = 3;

// Counts a sample and returns its weight: the mean of all samples at first, an
// exponential moving average later.
double NextGain(uint32_t& samples, double min_gain) {
  ++samples;
  return std::max(min_gain, 1.0 / samples);
}

}  // namespace

void SetLogSpeed(upstream_speed& upstream, double log_speed) {
  upstream.log_speed = std::clamp(log_speed, -kMaxAbsLogSpeed, kMaxAbsLogSpeed);
  upstream.speed = std::exp(upstream.log_speed);
}

void RecordHoldTime(hold_time_model& model, upstream_speed& upstream,
                    priority_class priority, duration hold_time) {
  const auto index = static_cast<size_t>(priority);
  const double hold_s =
      std::max(kMinHoldS, std::chrono::duration<double>(hold_time).count());
  const double log_hold = std::log(hold_s);
  double& typical = model.typical_log_hold_s[index];
  typical += NextGain(model.samples[index], kMinModelGain) *
             (log_hold + upstream.log_speed - typical);
  const double observed_log_speed = typical - log_hold;
  SetLogSpeed(upstream, upstream.log_speed +
                            NextGain(upstream.samples, kMinUpstreamGain) *
                                (observed_log_speed - upstream.log_speed));
}

}  // namespace radishyard
