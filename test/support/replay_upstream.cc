// Simulated upstreams of the replay: speed, backlog and faults.
#include <algorithm>

#include "support/replay_engine.h"

namespace radishyard::test {
namespace {

constexpr int64_t kOpeningTimeoutUs = 250'000;
constexpr size_t kMaxBacklog = 64;

}  // namespace

const upstream_fault* replay_engine::FindActiveFault(
    size_t upstream_index, upstream_fault::kind what) const {
  for (const upstream_fault& f : setup.faults) {
    if (f.upstream_index == upstream_index && f.what == what &&
        now_us >= f.from_ms * 1000 && now_us < f.to_ms * 1000)
      return &f;
  }
  return nullptr;
}

double replay_engine::CurrentSpeed(size_t upstream_index) const {
  double speed = setup.speeds[upstream_index];
  if (const auto* slow =
          FindActiveFault(upstream_index, upstream_fault::kind::kSlow))
    speed *= slow->factor;
  if (const auto* cold =
          FindActiveFault(upstream_index, upstream_fault::kind::kCold)) {
    const double elapsed_share =
        static_cast<double>(now_us - cold->from_ms * 1000) /
        (1000.0 * static_cast<double>(cold->to_ms - cold->from_ms));
    speed *=
        std::max(0.1, elapsed_share);  // Rises evenly while the fault lasts.
  }
  return speed;
}

size_t replay_engine::FindUpstreamIndex(uint32_t address) const {
  for (size_t r = 0; r < setup.table.upstreams.size(); ++r)
    if (setup.table.upstreams[r].address == address) return r;
  return 0;
}

void replay_engine::SendOpening(size_t i, size_t upstream_index,
                                bool is_retry) {
  result.placements.push_back({now_us, i, upstream_index, is_retry});
  result.flows[i].upstream_index = upstream_index;
  Schedule(setup.upstream_latency_us,
           [this, i, upstream_index] { ReceiveAtUpstream(i, upstream_index); });
}

void replay_engine::ReceiveAtUpstream(size_t i, size_t upstream_index) {
  if (FindActiveFault(upstream_index, upstream_fault::kind::kBlackHole) !=
      nullptr) {
    Schedule(kOpeningTimeoutUs, [this, i, upstream_index] {
      HandleFailedOpening(i, upstream_index, false);
    });
    return;
  }
  const auto* shed =
      FindActiveFault(upstream_index, upstream_fault::kind::kShed);
  const bool is_shed =
      shed != nullptr && (random() % 1000) < 1000 * shed->factor;
  if (is_shed ||
      FindActiveFault(upstream_index, upstream_fault::kind::kFailFast) !=
          nullptr ||
      upstreams[upstream_index].backlog.size() >= kMaxBacklog) {
    Schedule(setup.balancer_latency_us, [this, i, upstream_index] {
      HandleFailedOpening(i, upstream_index, true);
    });
    return;
  }
  const size_t pool_index = pool_of[i];
  if (pool_index < pools.size()) {
    Schedule(setup.balancer_latency_us, [this, pool_index, upstream_index] {
      const int64_t rtt = setup.balancer_latency_us + setup.upstream_latency_us;
      RecordResponse(pools[pool_index].state,
                     setup.table.upstreams[upstream_index].address,
                     microseconds(rtt), Now());
    });
  }
  simulated_upstream& u = upstreams[upstream_index];
  const upstream& limits = setup.table.upstreams[upstream_index];
  if (++u.connections > limits.connections) ++result.limit_violations;
  if (trace[i].kind == port_kind::kRequest && u.busy_slots >= limits.slots) {
    ++result.limit_violations;
    u.backlog.push_back(i);
    return;
  }
  StartFlow(i, upstream_index);
}

void replay_engine::StartFlow(size_t i, size_t upstream_index) {
  result.flows[i].started_us = now_us;
  double us = static_cast<double>(trace[i].work_us);
  if (trace[i].kind == port_kind::kRequest) {
    ++upstreams[upstream_index].busy_slots;
    us /= CurrentSpeed(upstream_index);
  }
  Schedule(static_cast<int64_t>(us),
           [this, i, upstream_index] { CompleteFlow(i, upstream_index); });
}

void replay_engine::CompleteFlow(size_t i, size_t upstream_index) {
  simulated_upstream& u = upstreams[upstream_index];
  --u.connections;
  flow_outcome& out = result.flows[i];
  out.ended_us = now_us;
  out.what = flow_outcome::kind::kCompleted;
  if (trace[i].kind == port_kind::kRequest) {
    --u.busy_slots;
    if (!u.backlog.empty()) {
      const size_t next = u.backlog.front();
      u.backlog.pop_front();
      StartFlow(next, upstream_index);
    }
  }
  const int64_t slot_hold_us = now_us - out.started_us +
                               setup.balancer_latency_us +
                               setup.upstream_latency_us;
  Schedule(setup.balancer_latency_us, [this, i, upstream_index, slot_hold_us] {
    ReleaseAtPool(i, upstream_index, flow_end::kCompleted, slot_hold_us);
  });
}

void replay_engine::ReleaseAtPool(size_t i, size_t upstream_index, flow_end end,
                                  int64_t slot_hold_us) {
  const uint32_t address = setup.table.upstreams[upstream_index].address;
  const size_t pool_index = pool_of[i];
  if (own_connections[ingress_of[i]][upstream_index] > 0)
    --own_connections[ingress_of[i]][upstream_index];
  if (pools.empty() || pools[pool_index].is_lost) return;
  const flow_reservation flow = ReservationFor(MakeOpenRequest(i), address);
  if (unknown_to_owner[i])
    AddExistingFlow(pools[pool_index].state, flow, Now());
  unknown_to_owner[i] = false;
  ReleaseFlow(pools[pool_index].state, flow, end, microseconds(slot_hold_us),
              Now());
  PollPool(pool_index);
}

void replay_engine::HandleFailedOpening(size_t i, size_t upstream_index,
                                        bool is_reset) {
  const uint32_t address = setup.table.upstreams[upstream_index].address;
  const size_t pool_index = pool_of[i];
  flow_outcome& out = result.flows[i];
  if (setup.strategy == placement_strategy::kOwner &&
      !pools[pool_index].is_lost) {
    pool_state& pool = pools[pool_index].state;
    if (is_reset) {
      RecordReset(pool, address, Now());
    } else {
      RecordTimeout(pool, address, Now());
    }
    const auto next =
        RetryOnOtherUpstream(pool, MakeOpenRequest(i), address, Now());
    PollPool(pool_index);
    if (next) {
      SendOpening(i, FindUpstreamIndex(*next), true);
      return;
    }
  }
  out.what = flow_outcome::kind::kFailed;
  out.ended_us = now_us;
  ReleaseAtPool(i, upstream_index, flow_end::kFailed, 0);
}

}  // namespace radishyard::test
