// Order of waiting openings.
#include "pool/opening_queue.h"

#include <algorithm>

namespace radishyard::internal {

namespace {

bool IsEarlier(const waiting_opening& a, const waiting_opening& b) {
  return a.turn < b.turn;
}

bool IsBulkOpening(const open_request& request) {
  return request.priority == priority_class::kBulk;
}

waiting_opening Waiting(const open_request& request, const pool_policy& policy,
                        time_point now) {
  const bool urgent = request.priority == priority_class::kUrgent;
  return {request, now, urgent ? now - policy.urgent_head_start : now};
}

}  // namespace

void Insert(opening_queue& queue, const open_request& request,
            const pool_policy& policy, time_point now) {
  auto& list = IsBulkOpening(request) ? queue.bulk : queue.short_work;
  const waiting_opening w = Waiting(request, policy, now);
  list.insert(std::upper_bound(list.begin(), list.end(), w, IsEarlier), w);
}

size_t Ahead(const opening_queue& queue, const open_request& request,
             const pool_policy& policy, time_point now) {
  const auto& list = IsBulkOpening(request) ? queue.bulk : queue.short_work;
  const waiting_opening w = Waiting(request, policy, now);
  return std::upper_bound(list.begin(), list.end(), w, IsEarlier) -
         list.begin();
}

duration MaxWait(const waiting_opening& w, const pool_policy& policy) {
  const bool is_bulk = IsBulkOpening(w.request);
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
