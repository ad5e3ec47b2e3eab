// Sliding window of placements.
#include "pool/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace radishyard::internal {
namespace {

constexpr int64_t kBuckets = retry_budget::kBuckets;

size_t Advance(retry_budget& budget, time_point now) {
  const int64_t second =
      std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
  const int64_t passed = std::min(second - budget.newest, kBuckets);
  for (int64_t i = 0; i < passed; ++i) {
    const auto at = static_cast<size_t>((second - i) % kBuckets);
    budget.first[at] = 0;
    budget.second[at] = 0;
  }
  budget.newest = std::max(budget.newest, second);
  return static_cast<size_t>(budget.newest % kBuckets);
}

template <typename Buckets>
uint64_t Sum(const Buckets& buckets) {
  return std::accumulate(buckets.begin(), buckets.end(), uint64_t{0});
}

}  // namespace

void CountFirst(retry_budget& budget, time_point now) {
  ++budget.first[Advance(budget, now)];
}

bool TakeSecond(retry_budget& budget, uint32_t percent, time_point now) {
  const size_t at = Advance(budget, now);
  // The oldest bucket may lie before the window: its first placements do not
  // count, its second ones do.
  const size_t oldest = (at + 1) % kBuckets;
  const uint64_t first = Sum(budget.first) - budget.first[oldest];
  if ((Sum(budget.second) + 1) * 100 > first * percent) return false;
  ++budget.second[at];
  return true;
}

}  // namespace radishyard::internal
