// Implements what a pool owner does while the pool's failure domain is
// evacuated: openings that reach it go to other pools of the service.
//
// The owner learns of an evacuation before or after the balancers that forward
// openings to it. Until these know, it receives openings for a pool without
// upstreams for them, and refusing them would fail callers although other pools
// have room.
#include <algorithm>
#include <set>

#include "traffic/flow_owner.h"

namespace radishyard {
namespace {

std::set<pool_name> EvacuatedPools(const routing_view& view) {
  std::set<pool_name> names;
  for (const pool_route& route : view.pools)
    if (route.evacuated) names.insert(route.name);
  return names;
}

}  // namespace

void flow_owner::RecordEvacuations(const routing_view& next, time_point now) {
  if (EvacuatedPools(next) != EvacuatedPools(*view_))
    evacuations_changed_at_ = now;
}

// True for a request of which another pool may have placed a copy, because the
// evacuations have changed lately. Feeds and non-idempotent requests are routed
// to the same pool all the time.
bool flow_owner::MayBePlacedInOtherPool(const inbound_packet& in,
                                        time_point now) const {
  return in.IsOfIdempotentRequest() && evacuations_changed_at_ &&
         now - *evacuations_changed_at_ < kEvacuationSettleTime;
}

// Returns the index into routing_view::pools of the pool that takes an opening
// in place of an evacuated one; nothing if all pools are evacuated. It is the
// same pool that a balancer chooses that knows of the evacuation.
std::optional<uint16_t> flow_owner::FindPoolOutsideEvacuation(
    const flow_key& key) const {
  const auto port = view_->ports.find({key.proto, key.service});
  if (port == view_->ports.end()) return std::nullopt;
  const auto pool = PickPool(*view_, port->second, StableHash(key));
  if (!pool || view_->pools[*pool].evacuated) return std::nullopt;
  return pool;
}

// Returns the pool to which an opening must be passed because its own pool is
// evacuated. If that one is served here, makes it the opening's pool instead.
// Returns null in that case, and if there is no such pool.
//
// An opening that another pool has passed here is not passed on. One that the
// previous owner has returned is, although it may have been passed here before:
// a pool can have a previous owner for long. Its hop count ends the circulation
// that is possible while the owners of two pools have different views.
const pool_route* flow_owner::LeaveEvacuatedPool(inbound_packet& in) const {
  if (!PoolRoute(in).evacuated ||
      in.WasForwardedAs(forward_kind::kPassedOpening) || in.Hops() >= kMaxHops)
    return nullptr;
  const auto pool = FindPoolOutsideEvacuation(in.key);
  if (!pool) return nullptr;
  if (!IsServedHere(*pool)) return &view_->pools[*pool];
  in.pool = *pool;
  return nullptr;
}

// Passes the waiting openings of an evacuated pool to other pools at once,
// since no upstream of the pool will take them, and refuses the others. Those
// that another pool has passed here are passed as well: this happens once for
// each evacuation, so they can't circulate.
void flow_owner::EmptyEvacuatedPool(served_pool& pool, time_point now) {
  for (const uint64_t token : TakeQueuedTokens(pool.state)) {
    const auto slot = static_cast<uint32_t>(token);
    const flow_record& flow = flows_.At(slot);
    const auto target = FindPoolOutsideEvacuation(flow.key);
    if (target && !IsServedHere(*target) && !flow.Has(kMayHaveExecuted)) {
      PassOpening(slot, pool, view_->pools[*target], 0);
    } else {
      ApplyDecision(
          slot, {open_decision::kind::kRefused, 0, refusal::kEvacuated}, now);
    }
  }
}

// Sends the held opening to the owner of another pool. The flow's record is
// kept, so that copies of the opening go to the same pool.
void flow_owner::PassOpening(uint32_t slot, served_pool& pool,
                             const pool_route& target, uint8_t hops) {
  flow_record& flow = flows_.At(slot);
  ++counters_.passed;
  sink_.SendToBalancer(target.owner,
                       {forward_kind::kPassedOpening,
                        static_cast<uint8_t>(hops + 1), target.tag, 0, 0},
                       held_openings_[slot]);
  held_openings_.erase(slot);
  --pool.flow_count;
  flow.phase = flow_phase::kPassedOn;
  flow.pool = target.tag;
  ++closed_count_;
}

}  // namespace radishyard
