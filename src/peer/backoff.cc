// Exponential backoff whose jitter is a hash of the seed and the attempt
// number.
#include "peer/backoff.h"

#include <algorithm>

namespace radishyard {
namespace {

/// Keeps the doubled delay within 64 bits.
constexpr unsigned kMaxDoublings = 20;
constexpr uint64_t kJitterSteps = 1024;

/// One step of the SplitMix64 generator: every bit of `x` affects every bit of
/// the result.
uint64_t SplitMix64(uint64_t x) {
  x += 0x9E3779B97F4A7C15;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
  return x ^ (x >> 31);
}

}  // namespace

duration ComputeBackoffDelay(const backoff_policy& policy, unsigned attempt,
                             uint64_t seed) {
  const unsigned doublings = std::min(attempt, kMaxDoublings);
  const duration full_delay =
      std::min(policy.longest, policy.first * (int64_t{1} << doublings));
  const uint64_t jitter = SplitMix64(seed ^ SplitMix64(attempt)) % kJitterSteps;
  return full_delay / 2 + full_delay / 2 * static_cast<int64_t>(jitter) /
                              static_cast<int64_t>(kJitterSteps);
}

}  // namespace radishyard
