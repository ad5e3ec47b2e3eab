// Order of waiting openings.
#include "pool/opening_queue.h"

#include <algorithm>

namespace radishyard::internal {

void Insert(opening_queue& queue, const open_request& request,
            const pool_policy& policy, time_point now) {
  const bool urgent = request.priority == priority_class::kUrgent;
  const bool is_bulk = request.priority == priority_class::kBulk;
  const waiting_opening w = {request, now,
                             urgent ? now - policy.urgent_head_start : now};
  auto& list = is_bulk ? queue.bulk : queue.short_work;
  const auto at =
      std::upper_bound(list.begin(), list.end(), w,
                       [](const waiting_opening& a, const waiting_opening& b) {
                         return a.turn < b.turn;
                       });
  list.insert(at, w);
}

duration MaxWait(const waiting_opening& w, const pool_policy& policy) {
  const bool is_bulk = w.request.priority == priority_class::kBulk;
  return is_bulk ? policy.max_bulk_wait : policy.max_wait;
}

std::optional<time_point> FirstDeadline(const opening_queue& queue,
                                        const pool_policy& policy) {
  std::optional<time_point> first;
  for (const auto* list : {&queue.short_work, &queue.bulk}) {
    for (const waiting_opening& w : *list) {
      const time_point deadline = w.since + MaxWait(w, policy);
      if (!first || deadline < *first) first = deadline;
    }
  }
  return first;
}

}  // namespace radishyard::internal
