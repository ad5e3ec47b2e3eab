// Sliding window of placements, with a bucket per second.
#include "pool/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace radishyard::internal {
namespace {

constexpr int64_t kBuckets = retry_budget::kBuckets;

// Clears the buckets of the seconds that began since the last call.
// \returns The index of the current bucket.
size_t AdvanceTo(retry_budget& budget, time_point now) {
  const int64_t current =
      std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
  const int64_t steps = std::min(current - budget.newest, kBuckets);
  for (int64_t i = 0; i < steps; ++i) {
    const auto at = static_cast<size_t>((current - i) % kBuckets);
    budget.first_placements[at] = 0;
    budget.retries[at] = 0;
  }
  budget.newest = std::max(budget.newest, current);
  return static_cast<size_t>(budget.newest % kBuckets);
}

template <typename Buckets>
uint64_t Sum(const Buckets& buckets) {
  return std::accumulate(buckets.begin(), buckets.end(), uint64_t{0});
}

}  // namespace

void RecordFirstPlacement(retry_budget& budget, time_point now) {
  ++budget.first_placements[AdvanceTo(budget, now)];
}

bool TryConsumeRetry(retry_budget& budget, uint32_t percent, time_point now) {
  const size_t at = AdvanceTo(budget, now);
  // The oldest bucket may lie partly before the window of 10 s. Its retries
  // count and its first placements do not, so that the limit holds in any 10 s.
  const size_t oldest = (at + 1) % kBuckets;
  const uint64_t first_placements =
      Sum(budget.first_placements) - budget.first_placements[oldest];
  if ((Sum(budget.retries) + 1) * 100 > first_placements * percent)
    return false;
  ++budget.retries[at];
  return true;
}

}  // namespace radishyard::internal
