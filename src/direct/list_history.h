// The last changes of the list of upstreams, so that another balancer that has
// an earlier list is sent only what differs.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "direct/upstream_entry.h"

namespace radishyard {

/// \brief Changes remembered; an asker who is further behind gets the whole
/// list.
inline constexpr size_t kMaxListChanges = 32;

/// \brief What led from one list to the next.
struct list_change {
  uint64_t digest_before = 0;    ///< ListDigest() of the earlier list.
  std::vector<upstream_id> ids;  ///< Entries added, changed or removed.
  auto operator<=>(const list_change&) const = default;
};

/// \brief Changes in their order, oldest first. Invariant: each begins with the
/// list that the one before led to, the last one leads to the present list.
struct list_history {
  std::deque<list_change> changes;
};

/// \brief What makes the present list of an earlier one.
struct list_delta {
  std::vector<upstream_entry> upstreams;  ///< Added or changed.
  std::vector<upstream_id> removed;
  auto operator<=>(const list_delta&) const = default;
};

/// \brief Remembers what `after` changes in `before`, whose digest is
/// `digest_before`.
void RecordListChange(list_history& history, const upstream_list& before,
                      uint64_t digest_before, const upstream_list& after);

/// \brief The difference from a list with `digest` to `present`.
/// \returns nothing where that list is not remembered.
std::optional<list_delta> ComputeDelta(const list_history& history,
                                       uint64_t digest,
                                       const upstream_list& present);

/// \brief The list that `delta` makes of `base`.
/// \param elapsed time between the two lists; entries that stay have so much
/// less of their cold start left.
std::vector<upstream_entry> ApplyDelta(const upstream_list& base,
                                       const list_delta& delta,
                                       duration elapsed);

}  // namespace radishyard
