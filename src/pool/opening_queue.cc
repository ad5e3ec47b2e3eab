// Keeps waiting openings sorted by virtual start time and computes deadlines.
#include "pool/opening_queue.h"

#include <algorithm>

namespace radishyard::internal {

namespace {

bool StartsEarlier(const waiting_opening& a, const waiting_opening& b) {
  return a.virtual_start < b.virtual_start;
}

bool IsBulkOpening(const open_request& request) {
  return request.priority == priority_class::kBulk;
}

}  // namespace

waiting_opening MakeWaitingOpening(const open_request& request,
                                   time_point caller_start,
                                   const pool_policy& policy, time_point now) {
  const bool urgent = request.priority == priority_class::kUrgent;
  const duration head_start = urgent ? policy.urgent_head_start : duration{};
  return {request, now - request.prior_wait, caller_start - head_start};
}

void Insert(opening_queue& queue, const waiting_opening& w) {
  auto& list = IsBulkOpening(w.request) ? queue.bulk : queue.non_bulk;
  list.insert(std::upper_bound(list.begin(), list.end(), w, StartsEarlier), w);
}

size_t CountAhead(const opening_queue& queue, const waiting_opening& w) {
  const auto& list = IsBulkOpening(w.request) ? queue.bulk : queue.non_bulk;
  return std::upper_bound(list.begin(), list.end(), w, StartsEarlier) -
         list.begin();
}

duration MaxWait(const waiting_opening& w, const pool_policy& policy) {
  const bool is_bulk = IsBulkOpening(w.request);
  return is_bulk ? policy.max_bulk_wait : policy.max_wait;
}

std::optional<time_point> EarliestDeadline(const opening_queue& queue,
                                           const pool_policy& policy) {
  std::optional<time_point> first;
  for (const auto* list : {&queue.non_bulk, &queue.bulk}) {
    for (const waiting_opening& w : *list) {
      const time_point deadline = w.waiting_since + MaxWait(w, policy);
      if (!first || deadline < *first) first = deadline;
    }
  }
  return first;
}

}  // namespace radishyard::internal
