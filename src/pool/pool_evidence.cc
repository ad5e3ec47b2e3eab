// What flows tell about their upstreams, and what they free.
#include <algorithm>

#include "pool/pool_counts.h"
#include "pool/pool_state.h"

namespace radishyard {

using internal::FindUpstream;

namespace {

constexpr uint64_t kCentreEvery = 64;  // Completed requests.

// Speeds are relative: their mean stays at 1.
void CentreSpeeds(pool_state& pool) {
  double sum = 0;
  for (const pool_upstream& u : pool.upstreams) sum += u.speed.log_speed;
  const double mean = sum / static_cast<double>(pool.upstreams.size());
  for (pool_upstream& u : pool.upstreams)
    Guess(u.speed, u.speed.log_speed - mean);
  for (double& typical : pool.holds.log_hold_s) typical -= mean;
}

void Recover(pool_state& pool, pool_upstream& u, time_point now) {
  u.ramp_from = now;
  u.ramp_connections = u.UsedConnections();
  u.ramp = pool.policy.recovery_ramp;
  pool.ramps_until = std::max(pool.ramps_until, now + u.ramp);
}

void LearnFrom(pool_state& pool, pool_upstream& u, const flow_reservation& flow,
               duration held, time_point now) {
  if (internal::NoteWhole(u.health)) Recover(pool, u, now);
  Learn(pool.holds, u.speed, flow.priority, held);
  if (++pool.learned % kCentreEvery == 0) CentreSpeeds(pool);
}

}  // namespace

void RecordResponse(pool_state& pool, uint32_t upstream, duration /*latency*/,
                    time_point now) {
  pool_upstream* u = FindUpstream(pool, upstream);
  if (u != nullptr && internal::NoteAnswer(u->health)) Recover(pool, *u, now);
}

void RecordTimeout(pool_state& pool, uint32_t upstream, time_point now) {
  if (pool_upstream* u = FindUpstream(pool, upstream))
    internal::NoteFailure(u->health, now);
}

void RecordReset(pool_state& pool, uint32_t upstream, time_point now) {
  RecordTimeout(pool, upstream, now);
}

void ReleaseFlow(pool_state& pool, const flow_reservation& flow, flow_end how,
                 duration held, time_point now) {
  pool_upstream* u = FindUpstream(pool, flow.upstream);
  if (u == nullptr) return;
  internal::Give(pool, *u, flow);
  if (flow.kind != port_kind::kRequest) return;
  if (how == flow_end::kCompleted) LearnFrom(pool, *u, flow, held, now);
  if (how == flow_end::kFailed) internal::NoteBroken(u->health, now);
}

void AddExistingFlow(pool_state& pool, const flow_reservation& flow,
                     time_point /*now*/) {
  pool_upstream* u = FindUpstream(pool, flow.upstream);
  if (u == nullptr) return;
  internal::Take(pool, *u, flow);
  if (u->inherited_connections > 0) --u->inherited_connections;
  if (flow.kind == port_kind::kRequest && u->inherited_slots > 0)
    --u->inherited_slots;
}

void SetInheritedCounts(pool_state& pool, uint32_t upstream,
                        uint32_t connections, uint32_t slots, time_point now) {
  pool_upstream* u = FindUpstream(pool, upstream);
  if (u == nullptr) return;
  u->inherited_connections =
      connections - std::min(connections, u->connections);
  u->inherited_slots = slots - std::min(slots, u->slots);
  pool.inherited_until = now + pool.policy.inherited_age;
  pool.inherited_slots_until = now + pool.policy.inherited_slot_age;
}

pool_load ComputeLoad(const pool_state& pool, time_point now) {
  pool_load load;
  load.waiting = static_cast<uint32_t>(pool.queue.size());
  for (const pool_upstream& u : pool.upstreams) {
    const bool ejected = !internal::IsHealthy(u.health, now);
    load.upstreams.push_back({u.address, u.UsedConnections(), u.UsedSlots(),
                              static_cast<uint32_t>(1000 * u.speed.speed),
                              ejected});
    if (u.leaving || ejected) continue;
    load.weight += u.weight;
    load.free_slots += u.max_slots - std::min(u.max_slots, u.UsedSlots());
  }
  return load;
}

}  // namespace radishyard
