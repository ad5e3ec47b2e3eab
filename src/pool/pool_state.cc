// Life of a pool: configuration, openings, evidence and counts.
#include "pool/pool_state.h"

#include <algorithm>
#include <utility>

#include "pool/upstream_choice.h"

namespace radishyard {

using internal::Choose;
using internal::TakesNew;

namespace {

constexpr uint32_t kFailuresToEject = 3;
constexpr duration kProbeInterval = 1s;
constexpr uint64_t kCentreEvery = 64;  // Completed requests.

pool_upstream* Find(pool_state& pool, uint32_t address) {
  auto it = std::lower_bound(
      pool.upstreams.begin(), pool.upstreams.end(), address,
      [](const pool_upstream& u, uint32_t a) { return u.address < a; });
  if (it == pool.upstreams.end() || it->address != address) return nullptr;
  return &*it;
}

void Take(pool_upstream& u, port_kind kind) {
  ++u.connections;
  if (kind == port_kind::kRequest) ++u.slots;
}

void Give(pool_upstream& u, port_kind kind) {
  if (u.connections > 0) --u.connections;
  if (kind == port_kind::kRequest && u.slots > 0) --u.slots;
}

open_decision Placed(uint32_t upstream, uint64_t token) {
  return {open_decision::kind::kPlaced, upstream, refusal::kNone, token};
}

open_decision Refused(refusal why, uint64_t token) {
  return {open_decision::kind::kRefused, 0, why, token};
}

bool IsBulk(port_kind kind, priority_class priority) {
  return kind == port_kind::kRequest && priority == priority_class::kBulk;
}

uint32_t BulkFloor(const pool_state& pool) {
  return std::max(1U, pool.total_slots * pool.policy.bulk_floor_percent / 100);
}

// Slots that bulk may hold: all of them while there is no other work.
uint32_t BulkCap(const pool_state& pool, time_point now) {
  if (now - pool.short_work_at > pool.policy.quiet) return pool.total_slots;
  return std::max(1U, pool.total_slots * pool.policy.bulk_cap_percent / 100);
}

bool MayTake(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now) {
  return !IsBulk(kind, priority) || pool.bulk_slots < BulkCap(pool, now);
}

std::optional<open_decision> TryPlace(pool_state& pool, const open_request& r,
                                      time_point now) {
  if (!MayTake(pool, r.kind, r.priority, now)) return std::nullopt;
  pool_upstream* u = Choose(pool, r.kind, 0, now, IsBulk(r.kind, r.priority));
  if (u == nullptr) return std::nullopt;
  Take(*u, r.kind);
  if (IsBulk(r.kind, r.priority)) ++pool.bulk_slots;
  ++pool.retries.first;
  return Placed(u->address, r.token);
}

// Places the openings of `list` in their order as far as there is room.
void PlaceWaiting(pool_state& pool, std::vector<waiting_opening>& list,
                  time_point now, std::vector<open_decision>& decisions) {
  size_t kept = 0;
  bool slots_left = true;
  for (waiting_opening& w : list) {
    const bool needs_slot = w.request.kind == port_kind::kRequest;
    if (!needs_slot || slots_left) {
      if (auto placed = TryPlace(pool, w.request, now)) {
        decisions.push_back(*placed);
        continue;
      }
      if (needs_slot) slots_left = false;
    }
    list[kept++] = w;
  }
  list.resize(kept);
}

// Bulk that waited long goes first up to its floor, so that it never starves.
void PlacePatientBulk(pool_state& pool, time_point now,
                      std::vector<open_decision>& decisions) {
  auto& bulk = pool.queue.bulk;
  while (!bulk.empty() && pool.bulk_slots < BulkFloor(pool) &&
         now - bulk.front().since >= pool.policy.bulk_patience) {
    const auto placed = TryPlace(pool, bulk.front().request, now);
    if (!placed) return;
    decisions.push_back(*placed);
    bulk.erase(bulk.begin());
  }
}

void RefuseOverdue(pool_state& pool, std::vector<waiting_opening>& list,
                   time_point now, std::vector<open_decision>& decisions) {
  std::erase_if(list, [&](const waiting_opening& w) {
    if (now - w.since < internal::MaxWait(w, pool.policy)) return false;
    decisions.push_back(Refused(refusal::kWaitTooLong, w.request.token));
    return true;
  });
}

bool QueueFull(const pool_state& pool, const open_request& r, time_point now) {
  if (IsBulk(r.kind, r.priority))
    return pool.queue.bulk.size() >= BulkCap(pool, now);
  return pool.queue.short_work.size() >= pool.policy.max_waiting;
}

bool AnyLive(const pool_state& pool) {
  return std::any_of(
      pool.upstreams.begin(), pool.upstreams.end(),
      [](const pool_upstream& u) { return !u.leaving && u.weight > 0; });
}

void NoteFailure(pool_state& pool, uint32_t upstream, time_point now) {
  pool_upstream* u = Find(pool, upstream);
  if (u == nullptr) return;
  if (++u->failures >= kFailuresToEject)
    u->ejected_until = now + kProbeInterval;
}

// Speeds are relative: their mean stays at 1.
void CentreSpeeds(pool_state& pool) {
  double sum = 0;
  for (const pool_upstream& u : pool.upstreams) sum += u.speed.log_speed;
  const double mean = sum / static_cast<double>(pool.upstreams.size());
  for (pool_upstream& u : pool.upstreams)
    Guess(u.speed, u.speed.log_speed - mean);
  for (double& typical : pool.holds.log_hold_s) typical -= mean;
}

void LearnFrom(pool_state& pool, pool_upstream& u, priority_class priority,
               duration held) {
  Learn(pool.holds, u.speed, priority, held);
  if (++pool.learned % kCentreEvery == 0) CentreSpeeds(pool);
}

void AgeInherited(pool_state& pool, time_point now) {
  for (pool_upstream& u : pool.upstreams) {
    if (u.inherited_connections == 0 && u.inherited_slots == 0) continue;
    if (now - u.inherited_at < pool.policy.inherited_age) continue;
    u.inherited_connections = 0;
    u.inherited_slots = 0;
  }
}

pool_upstream Merge(const pool_upstream* old, const upstream& row,
                    time_point now) {
  pool_upstream u = old == nullptr ? pool_upstream{} : *old;
  u.address = row.address;
  u.weight = row.weight;
  u.max_slots = row.slots;
  u.max_connections = row.connections;
  u.leaving = row.state == upstream_state::kLeaving;
  if (row.state == upstream_state::kJoining && !u.joined_at) u.joined_at = now;
  return u;
}

}  // namespace

void Configure(pool_state& pool, const service& table, std::string_view domain,
               time_point now) {
  pool.service = table.name;
  pool.domain = std::string(domain);
  std::vector<pool_upstream> next;
  for (const upstream& row : table.upstreams) {
    if (table.deleted || row.domain != domain) continue;
    next.push_back(Merge(Find(pool, row.address), row, now));
  }
  auto has = [&next](uint32_t address) {
    return std::any_of(
        next.begin(), next.end(),
        [address](const pool_upstream& u) { return u.address == address; });
  };
  std::vector<pool_upstream> removed;
  for (const pool_upstream& old : pool.upstreams) {
    if (has(old.address) || old.connections == 0) continue;
    removed.push_back(old);
    removed.back().leaving = true;
  }
  next.insert(next.end(), removed.begin(), removed.end());
  std::sort(next.begin(), next.end(),
            [](const pool_upstream& a, const pool_upstream& b) {
              return a.address < b.address;
            });
  pool.upstreams = std::move(next);
  pool.total_slots = 0;
  for (const pool_upstream& u : pool.upstreams)
    if (!u.leaving) pool.total_slots += u.max_slots;
}

open_decision Open(pool_state& pool, const open_request& request,
                   time_point now) {
  AgeInherited(pool, now);
  if (!AnyLive(pool)) return Refused(refusal::kNoUpstream, request.token);
  if (request.kind == port_kind::kRequest &&
      request.priority != priority_class::kBulk)
    pool.short_work_at = now;
  if (pool.queue.short_work.empty()) {
    if (auto placed = TryPlace(pool, request, now)) return *placed;
  }
  if (QueueFull(pool, request, now))
    return Refused(refusal::kQueueFull, request.token);
  internal::Insert(pool.queue, request, pool.policy, now);
  return {open_decision::kind::kQueued, 0, refusal::kNone, request.token};
}

std::vector<open_decision> Poll(pool_state& pool, time_point now) {
  std::vector<open_decision> decisions;
  if (pool.queue.empty()) return decisions;
  AgeInherited(pool, now);
  PlacePatientBulk(pool, now, decisions);
  PlaceWaiting(pool, pool.queue.short_work, now, decisions);
  PlaceWaiting(pool, pool.queue.bulk, now, decisions);
  RefuseOverdue(pool, pool.queue.short_work, now, decisions);
  RefuseOverdue(pool, pool.queue.bulk, now, decisions);
  return decisions;
}

std::optional<time_point> NextWake(const pool_state& pool) {
  return internal::FirstDeadline(pool.queue, pool.policy);
}

std::optional<uint32_t> Replace(pool_state& pool, const open_request& request,
                                uint32_t failed_upstream, time_point now) {
  retry_budget& budget = pool.retries;
  if (now - budget.started >= pool.policy.retry_window)
    budget = {.started = now};
  if ((budget.second + 1) * 100 > budget.first * pool.policy.retry_percent)
    return std::nullopt;
  const bool bulk = IsBulk(request.kind, request.priority);
  pool_upstream* u = Choose(pool, request.kind, failed_upstream, now, bulk);
  if (u == nullptr) return std::nullopt;
  ++budget.second;
  Take(*u, request.kind);
  if (pool_upstream* failed = Find(pool, failed_upstream))
    Give(*failed, request.kind);
  return u->address;
}

void Answered(pool_state& pool, uint32_t upstream, duration /*latency*/,
              time_point /*now*/) {
  pool_upstream* u = Find(pool, upstream);
  if (u == nullptr) return;
  u->failures = 0;
  u->ejected_until = {};
}

void Unanswered(pool_state& pool, uint32_t upstream, time_point now) {
  NoteFailure(pool, upstream, now);
}

void Reset(pool_state& pool, uint32_t upstream, time_point now) {
  NoteFailure(pool, upstream, now);
}

void Closed(pool_state& pool, const held_flow& flow, flow_end how,
            duration held, time_point /*now*/) {
  pool_upstream* u = Find(pool, flow.upstream);
  if (u == nullptr) return;
  Give(*u, flow.kind);
  if (IsBulk(flow.kind, flow.priority) && pool.bulk_slots > 0)
    --pool.bulk_slots;
  if (how == flow_end::kCompleted && flow.kind == port_kind::kRequest)
    LearnFrom(pool, *u, flow.priority, held);
}

void Adopt(pool_state& pool, const held_flow& flow, time_point /*now*/) {
  pool_upstream* u = Find(pool, flow.upstream);
  if (u == nullptr) return;
  Take(*u, flow.kind);
  if (IsBulk(flow.kind, flow.priority)) ++pool.bulk_slots;
  if (u->inherited_connections > 0) --u->inherited_connections;
  if (flow.kind == port_kind::kRequest && u->inherited_slots > 0)
    --u->inherited_slots;
}

void SetInherited(pool_state& pool, uint32_t upstream, uint32_t connections,
                  uint32_t slots, time_point now) {
  pool_upstream* u = Find(pool, upstream);
  if (u == nullptr) return;
  u->inherited_connections =
      connections - std::min(connections, u->connections);
  u->inherited_slots = slots - std::min(slots, u->slots);
  u->inherited_at = now;
}

pool_load Load(const pool_state& pool, time_point now) {
  pool_load load;
  load.waiting = static_cast<uint32_t>(pool.queue.size());
  for (const pool_upstream& u : pool.upstreams) {
    load.upstreams.push_back(
        {u.address, u.connections + u.inherited_connections,
         u.slots + u.inherited_slots,
         static_cast<uint32_t>(1000 * u.speed.speed), now < u.ejected_until});
    if (u.leaving || now < u.ejected_until) continue;
    load.weight += u.weight;
    load.free_slots +=
        u.max_slots - std::min(u.max_slots, u.slots + u.inherited_slots);
  }
  return load;
}

bool HasRoom(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now) {
  if (!pool.queue.short_work.empty()) return false;
  if (!MayTake(pool, kind, priority, now)) return false;
  return std::any_of(
      pool.upstreams.begin(), pool.upstreams.end(),
      [&](const pool_upstream& u) { return TakesNew(u, kind, now); });
}

std::optional<open_decision> PopForPeer(pool_state& pool, time_point /*now*/) {
  auto& list = pool.queue.short_work;
  if (list.empty()) return std::nullopt;
  const uint64_t token = list.front().request.token;
  list.erase(list.begin());
  return open_decision{open_decision::kind::kQueued, 0, refusal::kNone, token};
}

uint64_t PoolWeight(const service& table, std::string_view domain) {
  uint64_t weight = 0;
  if (table.deleted) return 0;
  for (const upstream& row : table.upstreams) {
    if (row.domain == domain && row.state != upstream_state::kLeaving)
      weight += row.weight;
  }
  return weight;
}

}  // namespace radishyard
