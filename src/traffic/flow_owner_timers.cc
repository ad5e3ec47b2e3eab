// Implements the timers of a pool owner: queued and unanswered openings,
// lingering and idle flows.
#include <algorithm>
#include <cassert>

#include "traffic/flow_owner.h"

namespace radishyard {
namespace {

constexpr uint8_t kMaxAttempts = 3;  // Placements of one opening.

}  // namespace

void flow_owner::ResumeAfterPause(time_point now) {
  placement_resumes_at_ = now + kMaxPacketLifetime;
  for (const auto& pool : served_) ClearQueue(pool->state);
  for (uint32_t slot = 0; slot < flows_.SlotLimit(); ++slot) {
    if (!flows_.IsOccupied(slot)) continue;
    flow_record& flow = flows_.At(slot);
    const bool is_opening =
        flow.phase == flow_phase::kOpening && flow.key.proto == protocol::kTcp;
    if (is_opening) ReleaseConnection(flow, flow_end::kAbandoned, now);
    if (is_opening || flow.phase == flow_phase::kQueued) RemoveFlow(slot);
  }
}

void flow_owner::Tick(time_point now) {
  PollPools(now);
  CheckOpeningTimeouts(now);
  RemoveLingeringFlows(now);
  EndIdleFlows(now);
}

void flow_owner::PollPools(time_point now) {
  for (const auto& pool : served_) {
    if (pool->new_owner) continue;
    for (const open_decision& decision : Poll(pool->state, now)) {
      ApplyDecision(static_cast<uint32_t>(decision.token), decision, now);
    }
    PassWaitingOpenings(*pool, now);
  }
}

// Passes queued openings to other pools of the service, one for each free slot
// that these have reported.
void flow_owner::PassWaitingOpenings(served_pool& pool, time_point now) {
  while (!pool.state.queue.empty() && PassFirstWaitingOpening(pool, now)) {
  }
}

bool flow_owner::PassFirstWaitingOpening(served_pool& pool, time_point now) {
  const waiting_opening* const first_waiting = FirstNonBulk(pool.state);
  if (first_waiting == nullptr || !HasOtherPoolWithFreeSlots(pool.name))
    return false;
  const auto slot = static_cast<uint32_t>(first_waiting->request.token);
  flow_record& flow = flows_.At(slot);
  const auto target_pool = FindPoolWithFreeSlots(flow);
  if (!target_pool || flow.Has(kMustNotBePassedOn) ||
      !PopFirstNonBulk(pool.state, now))
    return false;
  const pool_route& route = view_->pools[*target_pool];
  --grants_.free_slots[route.name];
  PassOpening(slot, pool, route, 0);
  return true;
}

bool flow_owner::HasOtherPoolWithFreeSlots(const pool_name& name) const {
  const auto first = grants_.free_slots.lower_bound({name.service, ""});
  return std::any_of(first, grants_.free_slots.end(),
                     [&name](const auto& entry) {
                       return entry.first.service == name.service &&
                              entry.first != name && entry.second > 0;
                     });
}

// Returns the index into routing_view::pools of the other pool of the service
// with the most free slots.
std::optional<uint16_t> flow_owner::FindPoolWithFreeSlots(
    const flow_record& flow) const {
  const auto port = view_->ports.find({flow.key.proto, flow.key.service});
  if (port == view_->ports.end()) return std::nullopt;
  std::optional<uint16_t> best_pool;
  uint32_t most_free_slots = 0;
  for (const uint16_t index : port->second.pools) {
    const pool_route& route = view_->pools[index];
    const auto free_slots = grants_.free_slots.find(route.name);
    if (route.role != pool_role::kNone || !route.reachable || route.evacuated ||
        free_slots == grants_.free_slots.end())
      continue;
    if (free_slots->second <= most_free_slots) continue;
    most_free_slots = free_slots->second;
    best_pool = index;
  }
  return best_pool;
}

void flow_owner::CheckOpeningTimeouts(time_point now) {
  while (!opening_timers_.empty() && opening_timers_.front().due <= now) {
    const opening_timer timer = opening_timers_.front();
    opening_timers_.pop_front();
    if (!flows_.IsOccupied(timer.slot)) continue;
    const flow_record& flow = flows_.At(timer.slot);
    const bool is_same_opening =
        flow.key == timer.key && flow.attempt == timer.attempt;
    const bool is_unanswered =
        is_same_opening && flow.phase == flow_phase::kOpening;
    if (!is_unanswered || served_[flow.pool]->new_owner) continue;
    RecordTimeout(served_[flow.pool]->state, flow.upstream, now);
    if (flow.attempt + 1 < kMaxAttempts) RetryOpening(timer.slot, now);
  }
}

void flow_owner::RemoveLingeringFlows(time_point now) {
  while (!linger_timers_.empty() && linger_timers_.front().due <= now) {
    const linger_timer timer = linger_timers_.front();
    linger_timers_.pop_front();
    if (!flows_.IsOccupied(timer.slot)) continue;
    const flow_record& flow = flows_.At(timer.slot);
    if (flow.key != timer.key || flow.phase != flow_phase::kClosed) continue;
    if (MayBeRetransmitted(flow, now)) {
      linger_timers_.push_back({timer.slot, timer.key, now + timing_.linger});
    } else {
      RemoveFlow(timer.slot);
    }
  }
}

// True if the caller may still retransmit the idempotent request of an ended
// flow. The record is kept, because it holds the upstream that has responded: a
// part of the response may have been lost, and a retransmission may have been
// lost or may wait until that upstream has room.
bool flow_owner::MayBeRetransmitted(const flow_record& flow,
                                    time_point now) const {
  if (flow.key.proto != protocol::kUdp) return false;
  const auto route = view_->ports.find({flow.key.proto, flow.key.service});
  const bool is_idempotent =
      route != view_->ports.end() && route->second.port.idempotent;
  const duration kept = is_idempotent ? kCallerRetryWindow : timing_.linger;
  return MsSinceStart(now) - flow.last_seen_ms < ToMs(kept);
}

uint32_t flow_owner::IdleTimeoutMs(const flow_record& flow) const {
  constexpr uint32_t kMsPerSecond = 1000;
  constexpr uint32_t kDefaultIdleMs = 300 * kMsPerSecond;
  constexpr uint32_t kUnconfirmedMs = 5 * kMsPerSecond;
  const bool is_opening =
      flow.key.proto == protocol::kTcp && flow.phase == flow_phase::kOpening;
  if (is_opening || flow.Has(kUnconfirmed)) return kUnconfirmedMs;
  const auto route = view_->ports.find({flow.key.proto, flow.key.service});
  return route == view_->ports.end()
             ? kDefaultIdleMs
             : route->second.port.idle_timeout_s * kMsPerSecond;
}

// Visits a share of the slots in proportion to the time since the last call,
// and ends the idle flows among them.
void flow_owner::EndIdleFlows(time_point now) {
  const uint32_t limit = flows_.SlotLimit();
  const auto sweep_share = std::min(
      1.0, std::chrono::duration<double>(now - last_sweep_at_) /
               std::chrono::duration<double>(timing_.idle_sweep_period));
  const auto count = static_cast<uint32_t>(sweep_share * limit);
  if (count == 0 && limit != 0) return;
  last_sweep_at_ = now;
  for (uint32_t i = 0; i < count; ++i) {
    sweep_slot_ = (sweep_slot_ + 1) % limit;
    if (!flows_.IsOccupied(sweep_slot_)) continue;
    const flow_record& flow = flows_.At(sweep_slot_);
    if (flow.phase == flow_phase::kQueued || flow.phase == flow_phase::kClosed)
      continue;
    if (MsSinceStart(now) - flow.last_seen_ms < IdleTimeoutMs(flow)) continue;
    if (flow.phase == flow_phase::kPassedOn) {
      RemoveFlow(sweep_slot_);
    } else {
      EndFlow(sweep_slot_,
              flow.phase == flow_phase::kOpening ? flow_end::kFailed
                                                 : flow_end::kAbandoned,
              now);
    }
  }
}

std::vector<served_pool_load> flow_owner::PoolLoads(time_point now) const {
  std::vector<served_pool_load> loads;
  for (const auto& pool : served_)
    if (!pool->new_owner)
      loads.push_back({pool->name, ComputeLoad(pool->state, now)});
  return loads;
}

}  // namespace radishyard
