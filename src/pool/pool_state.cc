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

std::optional<open_decision> TryPlace(pool_state& pool, const open_request& r,
                                      time_point now) {
  pool_upstream* u = Choose(pool, r.kind, 0, now);
  if (u == nullptr) return std::nullopt;
  Take(*u, r.kind);
  ++pool.retries.first;
  return Placed(u->address, r.token);
}

bool AnyLive(const pool_state& pool) {
  return std::any_of(
      pool.upstreams.begin(), pool.upstreams.end(),
      [](const pool_upstream& u) { return !u.leaving && u.weight > 0; });
}

void Enqueue(pool_state& pool, const open_request& r, time_point now) {
  auto later = [&](const waiting_opening& w) {
    return w.request.priority > r.priority;
  };
  auto at = std::find_if(pool.queue.begin(), pool.queue.end(), later);
  pool.queue.insert(at, {r, now});
}

void NoteFailure(pool_state& pool, uint32_t upstream, time_point now) {
  pool_upstream* u = Find(pool, upstream);
  if (u == nullptr) return;
  if (++u->failures >= kFailuresToEject)
    u->ejected_until = now + kProbeInterval;
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
}

open_decision Open(pool_state& pool, const open_request& request,
                   time_point now) {
  AgeInherited(pool, now);
  if (!AnyLive(pool)) return Refused(refusal::kNoUpstream, request.token);
  if (auto placed = TryPlace(pool, request, now)) return *placed;
  if (pool.queue.size() >= pool.policy.max_waiting)
    return Refused(refusal::kQueueFull, request.token);
  Enqueue(pool, request, now);
  return {open_decision::kind::kQueued, 0, refusal::kNone, request.token};
}

std::vector<open_decision> Poll(pool_state& pool, time_point now) {
  std::vector<open_decision> decisions;
  AgeInherited(pool, now);
  std::vector<waiting_opening> still;
  for (const waiting_opening& w : pool.queue) {
    if (auto placed = TryPlace(pool, w.request, now)) {
      decisions.push_back(*placed);
    } else if (now - w.since >= pool.policy.max_wait) {
      decisions.push_back(Refused(refusal::kWaitTooLong, w.request.token));
    } else {
      still.push_back(w);
    }
  }
  pool.queue = std::move(still);
  return decisions;
}

std::optional<time_point> NextWake(const pool_state& pool) {
  if (pool.queue.empty()) return std::nullopt;
  time_point first = time_point::max();
  for (const waiting_opening& w : pool.queue)
    first = std::min(first, w.since + pool.policy.max_wait);
  return first;
}

std::optional<uint32_t> Replace(pool_state& pool, const open_request& request,
                                uint32_t failed_upstream, time_point now) {
  retry_budget& budget = pool.retries;
  if (now - budget.started >= pool.policy.retry_window)
    budget = {.started = now};
  if ((budget.second + 1) * 100 > budget.first * pool.policy.retry_percent)
    return std::nullopt;
  pool_upstream* u = Choose(pool, request.kind, failed_upstream, now);
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
  if (how == flow_end::kCompleted && flow.kind == port_kind::kRequest)
    Learn(pool.holds, u->speed, flow.priority, held);
}

void Adopt(pool_state& pool, const held_flow& flow, time_point /*now*/) {
  pool_upstream* u = Find(pool, flow.upstream);
  if (u == nullptr) return;
  Take(*u, flow.kind);
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

bool HasRoom(const pool_state& pool, port_kind kind,
             priority_class /*priority*/, time_point now) {
  return pool.queue.empty() &&
         std::any_of(
             pool.upstreams.begin(), pool.upstreams.end(),
             [&](const pool_upstream& u) { return TakesNew(u, kind, now); });
}

std::optional<open_decision> PopForPeer(pool_state& pool, time_point /*now*/) {
  if (pool.queue.empty()) return std::nullopt;
  const uint64_t token = pool.queue.front().request.token;
  pool.queue.erase(pool.queue.begin());
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
