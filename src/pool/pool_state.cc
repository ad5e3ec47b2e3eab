// Openings: placed, queued, refused, placed again.
#include "pool/pool_state.h"

#include <algorithm>
#include <utility>

#include "pool/pool_counts.h"
#include "pool/upstream_choice.h"

namespace radishyard {

using internal::BulkCap;
using internal::BulkFloor;
using internal::choice_need;
using internal::IsBulk;
using internal::TakesNew;

namespace {

using decisions = std::vector<open_decision>;

open_decision Placed(uint32_t upstream, uint64_t token) {
  return {open_decision::kind::kPlaced, upstream, refusal::kNone, token};
}

open_decision Queued(uint64_t token) {
  return {open_decision::kind::kQueued, 0, refusal::kNone, token};
}

open_decision Refused(refusal why, uint64_t token) {
  return {open_decision::kind::kRefused, 0, why, token};
}

bool MayTake(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now) {
  return !IsBulk(kind, priority) || internal::BulkMayTake(pool, now);
}

pool_upstream* Place(pool_state& pool, const open_request& r, uint32_t except,
                     time_point now) {
  if (!MayTake(pool, r.kind, r.priority, now)) return nullptr;
  pool_upstream* u =
      internal::Choose(pool, {r.kind, r.priority, except, r.preferred}, now);
  if (u == nullptr) return nullptr;
  internal::Take(pool, *u, ReservationFor(r, u->address));
  internal::Sent(u->health, r.key.proto == protocol::kTcp, now);
  return u;
}

std::optional<open_decision> TryPlace(pool_state& pool, const open_request& r,
                                      time_point now) {
  const pool_upstream* u = Place(pool, r, 0, now);
  if (u == nullptr) return std::nullopt;
  internal::CountFirst(pool.retries, now);
  return Placed(u->address, r.token);
}

void LeaveQueue(pool_state& pool, const waiting_opening& w) {
  internal::ChangeUse(pool.callers, w.request.key.caller.address, 0, 0, -1);
}

// Places the openings of `list` in their order as far as there is room.
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
    LeaveQueue(pool, w);
    made.push_back(*placed);
    return true;
  });
}

// Bulk that waited long goes first up to its floor, so that it never starves.
void PlacePatientBulk(pool_state& pool, time_point now, decisions& made) {
  auto& bulk = pool.queue.bulk;
  while (!bulk.empty() && pool.bulk_slots < BulkFloor(pool) &&
         now - bulk.front().since >= pool.policy.bulk_patience) {
    const auto placed = TryPlace(pool, bulk.front().request, now);
    if (!placed) return;
    made.push_back(*placed);
    LeaveQueue(pool, bulk.front());
    bulk.erase(bulk.begin());
  }
}

void RefuseOverdue(pool_state& pool, std::vector<waiting_opening>& list,
                   time_point now, decisions& made) {
  std::erase_if(list, [&](const waiting_opening& w) {
    if (now - w.since < internal::MaxWait(w, pool.policy)) return false;
    made.push_back(Refused(refusal::kWaitTooLong, w.request.token));
    LeaveQueue(pool, w);
    return true;
  });
}

bool AnyLive(const pool_state& pool) {
  return std::any_of(
      pool.upstreams.begin(), pool.upstreams.end(),
      [](const pool_upstream& u) { return !u.leaving && u.weight > 0; });
}

bool ConnectionsShort(const pool_state& pool) {
  uint64_t used = 0;
  for (const pool_upstream& u : pool.upstreams)
    if (!u.leaving) used += u.UsedConnections();
  return used * 100 >= static_cast<uint64_t>(pool.total_connections) *
                           pool.policy.connections_short_percent;
}

// Connections are held for long, so that their share binds before they are all
// taken.
bool OverConnectionShare(const pool_state& pool, const open_request& r) {
  if (r.kind != port_kind::kFeed || !pool.policy.enforce_caller_share)
    return false;
  const uint32_t held =
      internal::UseOf(pool.callers, r.key.caller.address).connections;
  return held >=
             internal::ConnectionShare(pool.callers, pool.total_connections) &&
         ConnectionsShort(pool);
}

// Wait of an opening whose caller has `turn`: until then, and then behind those
// that a fresh opening finds ahead of it.
duration PredictedWait(const pool_state& pool, const open_request& r,
                       time_point turn, time_point now) {
  const auto fresh = internal::MakeWaiting(r, now, pool.policy, now);
  const size_t ahead = internal::Ahead(pool.queue, fresh);
  return r.prior_wait + (turn - now) +
         internal::PredictWait(pool.releases, ahead);
}

refusal WhyNotQueued(const pool_state& pool, const open_request& r,
                     time_point now) {
  const bool bulk = IsBulk(r.kind, r.priority);
  const size_t waiting =
      bulk ? pool.queue.bulk.size() : pool.queue.non_bulk.size();
  const size_t most =
      bulk ? BulkCap(pool, now) * pool.policy.max_bulk_waiting_per_slot
           : pool.policy.max_waiting;
  if (waiting >= most) return refusal::kQueueFull;
  if (bulk || r.kind == port_kind::kFeed ||
      !pool.policy.refuse_on_predicted_wait)
    return refusal::kNone;
  const time_point turn =
      std::max(now, internal::NextTurn(pool.callers, r.key.caller.address));
  if (PredictedWait(pool, r, now, now) > pool.policy.max_wait)
    return refusal::kWaitTooLong;
  if (PredictedWait(pool, r, turn, now) > pool.policy.max_wait)
    return refusal::kCallerShare;
  return refusal::kNone;
}

void Enqueue(pool_state& pool, const open_request& r, time_point now) {
  const duration interval = pool.policy.enforce_caller_share
                                ? internal::PredictWait(pool.releases, 0)
                                : duration{};
  const time_point turn =
      internal::TakeTurn(pool.callers, r.key.caller.address, interval, now);
  internal::Insert(pool.queue,
                   internal::MakeWaiting(r, turn, pool.policy, now));
}

}  // namespace

open_decision Open(pool_state& pool, const open_request& request,
                   time_point now) {
  internal::AgeInherited(pool, now);
  if (!AnyLive(pool)) return Refused(refusal::kNoUpstream, request.token);
  if (OverConnectionShare(pool, request))
    return Refused(refusal::kCallerShare, request.token);
  if (request.kind == port_kind::kRequest &&
      !IsBulk(request.kind, request.priority))
    pool.short_work_at = now;
  if (pool.queue.non_bulk.empty()) {
    if (auto placed = TryPlace(pool, request, now)) return *placed;
    internal::StartWaiting(pool.releases, now);
  }
  const refusal why = WhyNotQueued(pool, request, now);
  if (why != refusal::kNone) return Refused(why, request.token);
  Enqueue(pool, request, now);
  return Queued(request.token);
}

std::vector<open_decision> Poll(pool_state& pool, time_point now) {
  decisions made;
  internal::AgeInherited(pool, now);
  if (pool.queue.empty()) return made;
  PlacePatientBulk(pool, now, made);
  const size_t before = made.size();
  PlaceWaiting(pool, pool.queue.non_bulk, now, made);
  if (made.size() > before)
    internal::NoteReleased(pool.releases, made.size() - before, now);
  PlaceWaiting(pool, pool.queue.bulk, now, made);
  RefuseOverdue(pool, pool.queue.non_bulk, now, made);
  RefuseOverdue(pool, pool.queue.bulk, now, made);
  return made;
}

std::optional<time_point> NextPollTime(const pool_state& pool) {
  return internal::FirstDeadline(pool.queue, pool.policy);
}

std::optional<uint32_t> RetryOnOtherUpstream(pool_state& pool,
                                             const open_request& request,
                                             uint32_t failed_upstream,
                                             time_point now) {
  // Tried on a copy: nothing is taken where the budget is spent or all are
  // full.
  retry_budget budget = pool.retries;
  if (!internal::TakeSecond(budget, pool.policy.retry_percent, now))
    return std::nullopt;
  const pool_upstream* u = Place(pool, request, failed_upstream, now);
  if (u == nullptr) return std::nullopt;
  pool.retries = budget;
  if (pool_upstream* failed = internal::FindUpstream(pool, failed_upstream))
    internal::Give(pool, *failed, ReservationFor(request, failed_upstream));
  return u->address;
}

bool HasRoom(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now) {
  if (!pool.queue.non_bulk.empty()) return false;
  if (!MayTake(pool, kind, priority, now)) return false;
  return std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
                     [&](const pool_upstream& u) {
                       return TakesNew(u, kind, now) &&
                              !internal::IsWorthPassing(u, kind);
                     });
}

bool MustWaitFor(const pool_state& pool, uint32_t upstream, port_kind kind,
                 time_point now) {
  const auto u =
      std::ranges::find(pool.upstreams, upstream, &pool_upstream::address);
  if (u == pool.upstreams.end()) return false;
  return !pool.queue.empty() || internal::LacksRoom(*u, kind, now);
}

void ClearQueue(pool_state& pool) {
  for (const auto* list : {&pool.queue.non_bulk, &pool.queue.bulk})
    for (const waiting_opening& w : *list) LeaveQueue(pool, w);
  pool.queue = {};
}

const waiting_opening* FirstWaiting(const pool_state& pool) {
  const auto& list = pool.queue.non_bulk;
  return list.empty() ? nullptr : &list.front();
}

std::optional<open_decision> PopFirstWaiting(pool_state& pool,
                                             time_point /*now*/) {
  auto& list = pool.queue.non_bulk;
  if (list.empty()) return std::nullopt;
  const uint64_t token = list.front().request.token;
  LeaveQueue(pool, list.front());
  list.erase(list.begin());
  return Queued(token);
}

}  // namespace radishyard
