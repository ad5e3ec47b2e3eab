// Learning of speeds.
#include "pool/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace radishyard {
namespace {

constexpr double kShortestHoldS = 1e-5;
constexpr double kUpstreamGain = 0.1;  // Of one sample, once there are many.
constexpr double kModelGain = 0.01;
constexpr double kLogBound = 3;  // Speeds within a factor of 20.

double Gain(uint32_t& samples, double least) {
  ++samples;
  return std::max(least, 1.0 / samples);
}

}  // namespace

void Guess(upstream_speed& upstream, double log_speed) {
  upstream.log_speed = std::clamp(log_speed, -kLogBound, kLogBound);
  upstream.speed = std::exp(upstream.log_speed);
}

void Learn(hold_model& model, upstream_speed& upstream, priority_class priority,
           duration held) {
  const auto index = static_cast<size_t>(priority);
  const double hold_s =
      std::max(kShortestHoldS, std::chrono::duration<double>(held).count());
  const double log_hold = std::log(hold_s);
  double& typical = model.log_hold_s[index];
  typical += Gain(model.samples[index], kModelGain) *
             (log_hold + upstream.log_speed - typical);
  const double seen = typical - log_hold;
  Guess(upstream, upstream.log_speed + Gain(upstream.samples, kUpstreamGain) *
                                           (seen - upstream.log_speed));
}

}  // namespace radishyard
