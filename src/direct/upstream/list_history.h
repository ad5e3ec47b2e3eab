// The most recent changes of the upstream list. With them, a balancer sends
// another one that has an earlier list only the difference.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "direct/upstream/upstream_entry.h"

namespace radishyard {

/// \brief Computes the digest of what placement depends on in a list. It is the
/// same on every balancer, for any order of entries. The remaining cold start
/// and the sequence number are left out.
uint64_t ListDigest(const upstream_list& list);

/// \brief Most changes kept. A balancer that is further behind receives the
/// whole list.
inline constexpr size_t kMaxListChanges = 32;

/// \brief The difference between one list and the next.
struct list_change {
  uint64_t digest_before = 0;    ///< ListDigest() of the earlier list.
  std::vector<upstream_id> ids;  ///< Entries added, changed or removed.
  auto operator<=>(const list_change&) const = default;
};

/// \brief Consecutive changes, oldest first. Invariant: each change starts from
/// the list that the previous one results in, and the last one results in the
/// present list.
struct list_history {
  std::deque<list_change> changes;
};

/// \brief The difference between an earlier list and the present one.
struct list_delta {
  std::vector<upstream_entry> upstreams;  ///< Added or changed.
  std::vector<upstream_id> removed;
  auto operator<=>(const list_delta&) const = default;
};

/// \brief Adds the change from `before` to `after` and drops the oldest change
/// beyond kMaxListChanges.
/// \param digest_before ListDigest() of `before`.
void RecordListChange(list_history& history, const upstream_list& before,
                      uint64_t digest_before, const upstream_list& after);

/// \brief Computes the difference between the list with `digest` and `present`.
/// \returns nothing if the history does not contain that list.
std::optional<list_delta> ComputeDelta(const list_history& history,
                                       uint64_t digest,
                                       const upstream_list& present);

/// \brief Applies `delta` to the list `base`.
/// \param elapsed time between the two lists, by which the remaining cold start
/// of unchanged entries is shortened.
/// \returns the entries of the resulting list.
std::vector<upstream_entry> ApplyDelta(const upstream_list& base,
                                       const list_delta& delta,
                                       duration elapsed);

}  // namespace radishyard
