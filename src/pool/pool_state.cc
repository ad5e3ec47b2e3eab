// Decides on openings: places, queues or refuses them, and retries placements.
#include "pool/pool_state.h"

#include <algorithm>
#include <utility>

#include "pool/pool_counts.h"
#include "pool/upstream_choice.h"

namespace radishyard {

using internal::BulkCapSlots;
using internal::BulkFloorSlots;
using internal::CanTakeOpening;
using internal::choice_criteria;
using internal::IsBulk;

namespace {

using decisions = std::vector<open_decision>;

open_decision MakePlaced(uint32_t upstream, uint64_t token) {
  return {open_decision::kind::kPlaced, upstream, refusal::kNone, token};
}

open_decision MakeQueued(uint64_t token) {
  return {open_decision::kind::kQueued, 0, refusal::kNone, token};
}

open_decision MakeRefused(refusal why, uint64_t token) {
  return {open_decision::kind::kRefused, 0, why, token};
}

bool MayTakeSlot(const pool_state& pool, port_kind kind,
                 priority_class priority, time_point now) {
  return !IsBulk(kind, priority) || internal::MayBulkTakeSlot(pool, now);
}

pool_upstream* PlaceOnUpstream(pool_state& pool, const open_request& r,
                               uint32_t excluded_upstream, time_point now) {
  if (!MayTakeSlot(pool, r.kind, r.priority, now)) return nullptr;
  pool_upstream* u = internal::ChooseUpstream(
      pool, {r.kind, r.priority, excluded_upstream, r.preferred_upstream}, now);
  if (u == nullptr) return nullptr;
  internal::Reserve(pool, *u, ReservationFor(r, u->address));
  internal::RecordOpeningSent(u->health, r.key.proto == protocol::kTcp, now);
  return u;
}

std::optional<open_decision> TryPlace(pool_state& pool, const open_request& r,
                                      time_point now) {
  const pool_upstream* u = PlaceOnUpstream(pool, r, 0, now);
  if (u == nullptr) return std::nullopt;
  internal::RecordFirstPlacement(pool.retries, now);
  return MakePlaced(u->address, r.token);
}

void RemoveFromWaitingCount(pool_state& pool, const waiting_opening& w) {
  internal::AdjustUse(pool.callers, w.request.key.caller.address, 0, 0, -1);
}

// Places the openings of `list` in order, as far as there is room. Once a
// request finds no slot, later requests are skipped; feeds need no slot.
void PlaceWaiting(pool_state& pool, std::vector<waiting_opening>& list,
                  time_point now, decisions& made) {
  bool slots_left = true;
  std::erase_if(list, [&](const waiting_opening& w) {
    const bool needs_slot = w.request.kind == port_kind::kRequest;
    if (needs_slot && !slots_left) return false;
    const auto placed = TryPlace(pool, w.request, now);
    if (!placed) {
      if (needs_slot) slots_left = false;
      return false;
    }
    RemoveFromWaitingCount(pool, w);
    made.push_back(*placed);
    return true;
  });
}

// Places bulk openings that have waited for long before other work until bulk
// requests hold their floor of slots, so that they do not starve.
void PlaceLongWaitingBulk(pool_state& pool, time_point now, decisions& made) {
  auto& bulk = pool.queue.bulk;
  while (!bulk.empty() && pool.used_bulk_slots < BulkFloorSlots(pool) &&
         now - bulk.front().waiting_since >= pool.policy.bulk_promotion_wait) {
    const auto placed = TryPlace(pool, bulk.front().request, now);
    if (!placed) return;
    made.push_back(*placed);
    RemoveFromWaitingCount(pool, bulk.front());
    bulk.erase(bulk.begin());
  }
}

void RefuseOverdue(pool_state& pool, std::vector<waiting_opening>& list,
                   time_point now, decisions& made) {
  std::erase_if(list, [&](const waiting_opening& w) {
    if (now - w.waiting_since < internal::MaxWait(w, pool.policy)) return false;
    made.push_back(MakeRefused(refusal::kWaitTooLong, w.request.token));
    RemoveFromWaitingCount(pool, w);
    return true;
  });
}

bool HasActiveUpstream(const pool_state& pool) {
  return std::any_of(
      pool.upstreams.begin(), pool.upstreams.end(),
      [](const pool_upstream& u) { return !u.leaving && u.weight > 0; });
}

bool IsNearConnectionLimit(const pool_state& pool) {
  uint64_t used = 0;
  for (const pool_upstream& u : pool.upstreams)
    if (!u.leaving) used += u.UsedConnections();
  return used * 100 >= static_cast<uint64_t>(pool.connection_limit) *
                           pool.policy.connection_share_threshold_percent;
}

// Whether the caller holds its share of connections while these are short.
// Feeds hold connections for long, so the share applies before all connections
// are taken.
bool IsOverConnectionShare(const pool_state& pool, const open_request& r) {
  if (r.kind != port_kind::kFeed || !pool.policy.enforce_caller_share)
    return false;
  const uint32_t held =
      internal::FindUse(pool.callers, r.key.caller.address).connections;
  return held >=
             internal::ConnectionShare(pool.callers, pool.connection_limit) &&
         IsNearConnectionLimit(pool);
}

// Predicted total wait of an opening with this virtual start time: the time
// waited before, the time until `virtual_start`, and the wait behind the
// openings that are ahead of an opening queued now.
duration PredictedWait(const pool_state& pool, const open_request& r,
                       time_point virtual_start, time_point now) {
  const auto new_opening =
      internal::MakeWaitingOpening(r, now, pool.policy, now);
  const size_t ahead = internal::CountAhead(pool.queue, new_opening);
  return r.prior_wait + (virtual_start - now) +
         internal::PredictWait(pool.mean_dequeue_interval, ahead);
}

refusal ReasonNotToQueue(const pool_state& pool, const open_request& r,
                         time_point now) {
  const bool bulk = IsBulk(r.kind, r.priority);
  const size_t waiting =
      bulk ? pool.queue.bulk.size() : pool.queue.non_bulk.size();
  const size_t limit =
      bulk ? BulkCapSlots(pool, now) * pool.policy.max_bulk_queue_per_slot
           : pool.policy.max_queue_length;
  if (waiting >= limit) return refusal::kQueueFull;
  if (bulk || r.kind == port_kind::kFeed ||
      !pool.policy.refuse_on_predicted_wait)
    return refusal::kNone;
  const time_point virtual_start = std::max(
      now, internal::NextVirtualStart(pool.callers, r.key.caller.address));
  if (PredictedWait(pool, r, now, now) > pool.policy.max_wait)
    return refusal::kWaitTooLong;
  if (PredictedWait(pool, r, virtual_start, now) > pool.policy.max_wait)
    return refusal::kCallerOverShare;
  return refusal::kNone;
}

void Enqueue(pool_state& pool, const open_request& r, time_point now) {
  const duration interval =
      pool.policy.enforce_caller_share
          ? internal::PredictWait(pool.mean_dequeue_interval, 0)
          : duration{};
  const time_point virtual_start = internal::AssignVirtualStart(
      pool.callers, r.key.caller.address, interval, now);
  internal::Insert(pool.queue, internal::MakeWaitingOpening(r, virtual_start,
                                                            pool.policy, now));
}

}  // namespace

open_decision Open(pool_state& pool, const open_request& request,
                   time_point now) {
  internal::ExpireInherited(pool, now);
  if (pool.evacuated) return MakeRefused(refusal::kEvacuated, request.token);
  if (!HasActiveUpstream(pool))
    return MakeRefused(refusal::kNoUpstream, request.token);
  if (IsOverConnectionShare(pool, request))
    return MakeRefused(refusal::kCallerOverShare, request.token);
  if (request.kind == port_kind::kRequest &&
      !IsBulk(request.kind, request.priority))
    pool.newest_non_bulk_request = now;
  if (pool.queue.non_bulk.empty()) {
    if (auto placed = TryPlace(pool, request, now)) return *placed;
    internal::StartMeasuring(pool.mean_dequeue_interval, now);
  }
  const refusal why = ReasonNotToQueue(pool, request, now);
  if (why != refusal::kNone) return MakeRefused(why, request.token);
  Enqueue(pool, request, now);
  return MakeQueued(request.token);
}

std::vector<open_decision> Poll(pool_state& pool, time_point now) {
  decisions made;
  internal::ExpireInherited(pool, now);
  if (pool.queue.empty()) return made;
  PlaceLongWaitingBulk(pool, now, made);
  const size_t before = made.size();
  PlaceWaiting(pool, pool.queue.non_bulk, now, made);
  if (made.size() > before)
    internal::RecordDequeued(pool.mean_dequeue_interval, made.size() - before,
                             now);
  PlaceWaiting(pool, pool.queue.bulk, now, made);
  RefuseOverdue(pool, pool.queue.non_bulk, now, made);
  RefuseOverdue(pool, pool.queue.bulk, now, made);
  return made;
}

std::optional<time_point> NextPollTime(const pool_state& pool) {
  return internal::EarliestDeadline(pool.queue, pool.policy);
}

std::optional<uint32_t> RetryOnOtherUpstream(pool_state& pool,
                                             const open_request& request,
                                             uint32_t failed_upstream,
                                             time_point now) {
  // Works on a copy, so that the budget is unchanged if all upstreams are full.
  retry_budget budget = pool.retries;
  if (!internal::TryConsumeRetry(budget, pool.policy.retry_percent, now))
    return std::nullopt;
  const pool_upstream* u = PlaceOnUpstream(pool, request, failed_upstream, now);
  if (u == nullptr) return std::nullopt;
  pool.retries = budget;
  if (pool_upstream* failed = internal::FindUpstream(pool, failed_upstream))
    internal::Release(pool, *failed, ReservationFor(request, failed_upstream));
  return u->address;
}

bool HasRoom(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now) {
  if (!pool.queue.non_bulk.empty()) return false;
  if (!MayTakeSlot(pool, kind, priority, now)) return false;
  return std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
                     [&](const pool_upstream& u) {
                       return CanTakeOpening(u, kind, now) &&
                              !internal::IsTooSlow(u, kind);
                     });
}

bool MustWaitFor(const pool_state& pool, uint32_t upstream, port_kind kind,
                 time_point now) {
  const auto u =
      std::ranges::find(pool.upstreams, upstream, &pool_upstream::address);
  if (u == pool.upstreams.end()) return false;
  return !pool.queue.empty() || internal::IsFullButHealthy(*u, kind, now);
}

std::vector<uint64_t> TakeQueuedTokens(pool_state& pool) {
  std::vector<uint64_t> tokens;
  for (const auto* list : {&pool.queue.non_bulk, &pool.queue.bulk})
    for (const waiting_opening& w : *list) tokens.push_back(w.request.token);
  ClearQueue(pool);
  return tokens;
}

void ClearQueue(pool_state& pool) {
  for (const auto* list : {&pool.queue.non_bulk, &pool.queue.bulk})
    for (const waiting_opening& w : *list) RemoveFromWaitingCount(pool, w);
  pool.queue = {};
}

const waiting_opening* FirstNonBulk(const pool_state& pool) {
  const auto& list = pool.queue.non_bulk;
  return list.empty() ? nullptr : &list.front();
}

std::optional<open_decision> PopFirstNonBulk(pool_state& pool,
                                             time_point /*now*/) {
  auto& list = pool.queue.non_bulk;
  if (list.empty()) return std::nullopt;
  const uint64_t token = list.front().request.token;
  RemoveFromWaitingCount(pool, list.front());
  list.erase(list.begin());
  return MakeQueued(token);
}

}  // namespace radishyard
