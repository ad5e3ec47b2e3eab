// Exponential backoff with a jitter from a mixing function.
#include "peer/backoff.h"

#include <algorithm>

namespace radishyard {
namespace {

constexpr unsigned kMaxDoublings = 20;
constexpr uint64_t kJitterSteps = 1024;

/// The finalizer of SplitMix64: every bit of `x` reaches every bit of the
/// result.
uint64_t Mix(uint64_t x) {
  x += 0x9E3779B97F4A7C15;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
  return x ^ (x >> 31);
}

}  // namespace

duration ComputeBackoffDelay(const backoff_policy& policy, unsigned attempt,
                             uint64_t seed) {
  const unsigned doublings = std::min(attempt, kMaxDoublings);
  const duration whole =
      std::min(policy.longest, policy.first * (int64_t{1} << doublings));
  const uint64_t jitter = Mix(seed ^ Mix(attempt)) % kJitterSteps;
  return whole / 2 + whole / 2 * static_cast<int64_t>(jitter) /
                         static_cast<int64_t>(kJitterSteps);
}

}  // namespace radishyard
