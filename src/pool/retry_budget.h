// Budget of second placements, so that retries never multiply an overload.
#pragma once
#include <array>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief First and second placements of the last seconds.
/// Invariant: the bucket of second s is s modulo the number of buckets; those
/// after `newest` are of earlier seconds.
struct retry_budget {
  /// Seconds of the window, and the one that is not over yet.
  static constexpr int64_t kBuckets = 11;
  std::array<uint32_t, kBuckets> first{};
  std::array<uint32_t, kBuckets> second{};
  int64_t newest = 0;
};

namespace internal {

void CountFirst(retry_budget& budget, time_point now);

/// \brief Takes one second placement from the budget.
/// \param percent Second placements allowed per 100 first ones in any 10 s.
/// \returns False, and takes nothing, where the budget is spent.
bool TakeSecond(retry_budget& budget, uint32_t percent, time_point now);

}  // namespace internal
}  // namespace radishyard
