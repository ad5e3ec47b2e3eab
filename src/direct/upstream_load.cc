// Smoothing of answer times and doubt about silent upstreams.
#include "direct/upstream_load.h"

#include <algorithm>

namespace radishyard {
namespace {

/// Weight of a new sample once there are enough of them.
constexpr double kSampleWeight = 0.08;
/// Silent packets in a row before an upstream is in doubt: one may be a lost
/// datagram.
constexpr uint32_t kSilentPackets = 2;
constexpr duration kFirstDoubt = 1s;
constexpr duration kLongestDoubt = 8s;
constexpr uint32_t kMostDoublings = 3;

}  // namespace

void LearnAnswer(upstream_load& load, duration took) {
  const double took_s = std::chrono::duration<double>(took).count();
  ++load.answers;
  const double weight = std::max(kSampleWeight, 1.0 / load.answers);
  load.answer_s += weight * (took_s - load.answer_s);
}

void LearnAlive(upstream_load& load) {
  load.failures = 0;
  load.doubted_until = {};
}

void LearnSilence(upstream_load& load, time_point now) {
  ++load.failures;
  if (load.failures < kSilentPackets) return;
  const uint32_t doublings =
      std::min(load.failures - kSilentPackets, kMostDoublings);
  const duration doubt =
      std::min(kLongestDoubt, kFirstDoubt * (int64_t{1} << doublings));
  load.doubted_until = std::max(load.doubted_until, now + doubt);
}

bool IsDoubted(const upstream_load& load, time_point now) {
  return load.doubted_until > now;
}

}  // namespace radishyard
