// Records what happens to flows (responses, failures, ends) in the health, the
// speed and the counts of their upstreams.
#include <algorithm>

#include "pool/pool_counts.h"
#include "pool/pool_state.h"

namespace radishyard {

using internal::FindUpstream;

namespace {

// Completed requests between two calls of NormalizeSpeeds().
constexpr uint64_t kNormalizeInterval = 64;

// Scales all speeds so that their geometric mean is 1, because a speed is
// relative to the pool. The typical hold times are scaled along, so that the
// expected hold time at each upstream stays the same.
void NormalizeSpeeds(pool_state& pool) {
  double log_sum = 0;
  for (const pool_upstream& u : pool.upstreams) log_sum += u.speed.log_speed;
  const double log_mean = log_sum / static_cast<double>(pool.upstreams.size());
  for (pool_upstream& u : pool.upstreams)
    SetLogSpeed(u.speed, u.speed.log_speed - log_mean);
  for (double& typical : pool.hold_times.typical_log_hold_s)
    typical -= log_mean;
}

void StartRecoveryRamp(pool_state& pool, pool_upstream& u, time_point now) {
  u.ramp_start = now;
  u.connections_at_ramp_start = u.UsedConnections();
  u.ramp_length = pool.policy.recovery_ramp;
  pool.latest_ramp_end = std::max(pool.latest_ramp_end, now + u.ramp_length);
}

void RecordCompletion(pool_state& pool, pool_upstream& u,
                      const flow_reservation& reservation, duration hold_time,
                      time_point now) {
  if (internal::RecordCompletedRequest(u.health))
    StartRecoveryRamp(pool, u, now);
  RecordHoldTime(pool.hold_times, u.speed, reservation.priority, hold_time);
  if (++pool.completed_requests % kNormalizeInterval == 0)
    NormalizeSpeeds(pool);
}

}  // namespace

void RecordResponse(pool_state& pool, uint32_t upstream,
                    duration /*response_time*/, time_point now) {
  pool_upstream* u = FindUpstream(pool, upstream);
  if (u != nullptr && internal::RecordOpeningResponse(u->health))
    StartRecoveryRamp(pool, *u, now);
}

void RecordTimeout(pool_state& pool, uint32_t upstream, time_point now) {
  if (pool_upstream* u = FindUpstream(pool, upstream))
    internal::RecordFailedOpening(u->health, now);
}

void RecordReset(pool_state& pool, uint32_t upstream, time_point now) {
  RecordTimeout(pool, upstream, now);
}

void ReleaseFlow(pool_state& pool, const flow_reservation& reservation,
                 flow_end end, duration hold_time, time_point now) {
  pool_upstream* u = FindUpstream(pool, reservation.upstream);
  if (u == nullptr) return;
  internal::Release(pool, *u, reservation);
  if (reservation.kind != port_kind::kRequest) return;
  if (end == flow_end::kCompleted)
    RecordCompletion(pool, *u, reservation, hold_time, now);
  if (end == flow_end::kFailed) internal::RecordFailedRequest(u->health, now);
}

void AddExistingFlow(pool_state& pool, const flow_reservation& reservation,
                     time_point /*now*/) {
  pool_upstream* u = FindUpstream(pool, reservation.upstream);
  if (u == nullptr) return;
  internal::Reserve(pool, *u, reservation);
  if (u->inherited_connections > 0) --u->inherited_connections;
  if (reservation.kind == port_kind::kRequest && u->inherited_slots > 0)
    --u->inherited_slots;
}

void SetInheritedCounts(pool_state& pool, uint32_t upstream,
                        uint32_t connections, uint32_t slots, time_point now) {
  pool_upstream* u = FindUpstream(pool, upstream);
  if (u == nullptr) return;
  u->inherited_connections =
      connections - std::min(connections, u->connections);
  u->inherited_slots = slots - std::min(slots, u->slots);
  pool.inherited_connections_expiry =
      now + pool.policy.inherited_connection_timeout;
  pool.inherited_slots_expiry = now + pool.policy.inherited_slot_timeout;
}

pool_load ComputeLoad(const pool_state& pool, time_point now) {
  pool_load load;
  load.queued = static_cast<uint32_t>(pool.queue.size());
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
