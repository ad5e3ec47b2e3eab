// The queue of a pool: openings that wait for an upstream with room, in the
// order in which they are placed.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "pool/pool.h"
#include "pool/pool_policy.h"

namespace radishyard {

/// \brief An opening that waits for an upstream with room.
struct waiting_opening {
  open_request request;
  /// Time at which the opening was queued, less the time that it had waited
  /// before (`open_request::prior_wait`).
  time_point waiting_since;
  /// Sort key of the queue: the virtual start time that AssignVirtualStart()
  /// gave the caller, less the head start of the priority class. It stays fixed
  /// while the opening waits, so that later openings can overtake this one for
  /// a bounded time only.
  time_point virtual_start;
};

/// \brief Waiting openings of a pool.
/// Invariant: Both lists are sorted by `virtual_start`.
struct opening_queue {
  /// Openings of priority urgent and normal.
  std::vector<waiting_opening> non_bulk;
  std::vector<waiting_opening> bulk;
  size_t size() const { return non_bulk.size() + bulk.size(); }
  bool empty() const { return non_bulk.empty() && bulk.empty(); }
};

namespace internal {

/// \brief Makes the queue entry of `request`.
/// \param caller_start Virtual start time that the caller was assigned.
waiting_opening MakeWaitingOpening(const open_request& request,
                                   time_point caller_start,
                                   const pool_policy& policy, time_point now);

/// \brief Inserts `w` by its virtual start time, behind entries with the same.
void Insert(opening_queue& queue, const waiting_opening& w);

/// \brief Number of openings in the list of `w` that are placed before it.
size_t CountAhead(const opening_queue& queue, const waiting_opening& w);

/// \brief Time after which a waiting opening is refused.
duration MaxWait(const waiting_opening& w, const pool_policy& policy);

/// \brief Earliest time at which a waiting opening reaches its MaxWait().
/// \returns Nothing if the queue is empty.
std::optional<time_point> EarliestDeadline(const opening_queue& queue,
                                           const pool_policy& policy);

}  // namespace internal
}  // namespace radishyard
