// Budget of retries, so that retries cannot multiply an overload.
#pragma once
#include <array>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Placements and retries of the last seconds.
///
/// Invariant: The bucket of second s has the index s modulo `kBuckets`. The
/// buckets that follow the one of `newest` belong to earlier seconds.
struct retry_budget {
  /// The window of 10 s, and the second that has not ended yet.
  static constexpr int64_t kBuckets = 11;
  std::array<uint32_t, kBuckets> first_placements{};
  std::array<uint32_t, kBuckets> retries{};
  int64_t newest = 0;  ///< Second of the current bucket, on the given clock.
};

namespace internal {

/// \brief Counts the first placement of an opening.
void RecordFirstPlacement(retry_budget& budget, time_point now);

/// \brief Takes one retry from the budget if it allows one.
/// \param percent Retries allowed per 100 first placements in any 10 s.
/// \returns False if the budget is spent; nothing is counted then.
bool TryConsumeRetry(retry_budget& budget, uint32_t percent, time_point now);

}  // namespace internal
}  // namespace radishyard
