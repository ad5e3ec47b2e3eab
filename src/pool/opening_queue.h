// Openings that wait for room, in the order in which they are placed.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "pool/pool.h"
#include "pool/pool_policy.h"

namespace radishyard {

/// \brief An opening that waits for room.
struct waiting_opening {
  open_request request;
  time_point since;
  /// Turn of its caller less the head start of its class. It does not change
  /// while the opening waits, so that later ones overtake it for a bounded time
  /// only.
  time_point turn;
};

/// \brief Waiting openings of a pool.
/// Invariant: both lists are sorted by turn.
struct opening_queue {
  std::vector<waiting_opening> non_bulk;  ///< Urgent and normal.
  std::vector<waiting_opening> bulk;
  size_t size() const { return non_bulk.size() + bulk.size(); }
  bool empty() const { return non_bulk.empty() && bulk.empty(); }
};

namespace internal {

/// \brief An opening with its turn.
/// \param turn_of_caller Turn that its caller has.
waiting_opening MakeWaiting(const open_request& request,
                            time_point turn_of_caller,
                            const pool_policy& policy, time_point now);

/// \brief Puts `w` into the place that its turn gives it.
void Insert(opening_queue& queue, const waiting_opening& w);

/// \brief Openings that would be placed before `w`.
size_t Ahead(const opening_queue& queue, const waiting_opening& w);

/// \brief Longest wait of an opening.
duration MaxWait(const waiting_opening& w, const pool_policy& policy);

/// \brief When the first opening reaches its longest wait.
std::optional<time_point> FirstDeadline(const opening_queue& queue,
                                        const pool_policy& policy);

}  // namespace internal
}  // namespace radishyard
