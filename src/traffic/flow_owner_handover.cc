// Implements how the flows of a pool move to another balancer: the handover to
// a new owner, inherited counts after the loss of an owner, and the reports to
// the standby.
#include <algorithm>

#include "traffic/flow_owner.h"

namespace radishyard {
namespace {

// Slots that one call of CollectFlowsForStandby() searches at most.
constexpr uint32_t kMaxStandbyScanSlots = 20000;
constexpr uint8_t kBothFins = kCallerFin | kUpstreamFin;

// Ended flows are exported too. Otherwise the new owner would take their last
// acknowledgements for an open flow, and could not forward the rest of their
// responses.
bool IsExported(const flow_record& flow) {
  return flow.phase == flow_phase::kOpen ||
         flow.phase == flow_phase::kOpening ||
         flow.phase == flow_phase::kClosed;
}

bool HasEnded(const flow_entry& entry) {
  return (entry.flags & kBothFins) == kBothFins;
}

}  // namespace

flow_owner::served_pool* flow_owner::FindServedPool(
    const pool_name& name) const {
  const auto found = std::ranges::find_if(
      served_, [&name](const auto& pool) { return pool->name == name; });
  return found == served_.end() ? nullptr : found->get();
}

// Stops serving a pool that has another owner now. Queued openings are sent to
// the new owner at once; the other flows follow by ExportFlows().
void flow_owner::StopServingPool(served_pool& pool, const pool_route& route) {
  const bool is_first_call = !pool.new_owner;
  pool.new_owner = route.owner;
  if (!is_first_call || pool.state.queue.empty()) return;
  ClearQueue(pool.state);
  for (uint32_t slot = 0; slot < flows_.SlotLimit(); ++slot) {
    if (!flows_.IsOccupied(slot) ||
        flows_.At(slot).phase != flow_phase::kQueued)
      continue;
    if (served_[flows_.At(slot).pool].get() != &pool) continue;
    ++counters_.passed;
    sink_.SendToBalancer(route.owner,
                         {forward_kind::kFromPreviousOwner, 1, route.tag, 0, 0},
                         held_openings_[slot]);
    RemoveFlow(slot);
  }
}

flow_batch flow_owner::ExportFlows(const pool_name& name) const {
  flow_batch batch;
  const served_pool* const pool = FindServedPool(name);
  if (pool == nullptr) return batch;
  for (uint32_t slot = 0; slot < flows_.SlotLimit(); ++slot) {
    if (!flows_.IsOccupied(slot)) continue;
    const flow_record& flow = flows_.At(slot);
    if (!IsExported(flow) || served_[flow.pool].get() != pool) continue;
    const bool is_ended = flow.phase == flow_phase::kClosed;
    const auto flags = static_cast<uint8_t>(
        is_ended ? kBothFins
                 : flow.flags & (kCallerFin | kUpstreamFin | kHoldsConnection));
    batch.flows.push_back(
        {flow.key, flow.upstream, flow.kind, flow.priority, flags});
  }
  batch.digests = non_idempotent_requests_.Digests();
  return batch;
}

void flow_owner::ImportFlows(const pool_name& name, const flow_batch& batch,
                             time_point now) {
  const auto found = std::ranges::find_if(
      served_, [&name](const auto& pool) { return pool->name == name; });
  if (found == served_.end()) return;
  for (const uint64_t digest : batch.digests)
    non_idempotent_requests_.Add(digest, now);
  for (const flow_entry& entry : batch.flows) {
    auto slot = flows_.Find(entry.key);
    if (slot) {
      MergeFins(*slot, entry, now);
      continue;
    }
    slot =
        AdoptEntry(entry, static_cast<uint16_t>(found - served_.begin()), now);
    if (HasEnded(entry)) EndFlow(*slot, flow_end::kAbandoned, now);
  }
}

// Merges the FINs of an entry from the previous owner into a record that was
// created here from a packet before the entry arrived. Without the merge the
// flow would not end, since the FINs that the previous owner has seen are not
// sent again.
void flow_owner::MergeFins(uint32_t slot, const flow_entry& entry,
                           time_point now) {
  flow_record& flow = flows_.At(slot);
  const bool is_same_flow = flow.phase == flow_phase::kOpen &&
                            flow.WasOpenedElsewhere() &&
                            flow.upstream == entry.upstream;
  if (!is_same_flow) return;
  flow.flags = static_cast<uint8_t>(flow.flags | (entry.flags & kBothFins));
  EndFlowByFins(slot, flow_end::kAbandoned, now);
}

// Records a flow as ended that ends while its entry from the previous owner may
// be in transit, so that the entry does not open the flow again.
void flow_owner::RecordEndedFlow(const inbound_packet& in, uint32_t upstream,
                                 time_point now) {
  const uint32_t slot =
      AdoptEntry({in.key, upstream, in.port.kind, in.port.priority, 0},
                 ServedPoolIndex(in.pool), now);
  EndFlow(slot, flow_end::kAbandoned, now);
}

uint32_t flow_owner::AdoptEntry(const flow_entry& entry, uint16_t pool,
                                time_point now) {
  const uint32_t slot = flows_.Insert(entry.key);
  flow_record& flow = flows_.At(slot);
  flow.upstream = entry.upstream;
  flow.pool = pool;
  ++served_[pool]->flow_count;
  flow.kind = entry.kind;
  flow.priority = entry.priority;
  flow.flags = entry.flags;
  flow.Set(kPayloadSent);
  if (entry.kind == port_kind::kRequest) flow.Set(kUnconfirmed);
  flow.phase = flow_phase::kOpen;
  flow.opened_ms = flow.last_seen_ms = MsSinceStart(now);
  if (flow.Has(kHoldsConnection))
    AddExistingFlow(served_[pool]->state, ReservationFor(flow), now);
  ++counters_.adopted;
  return slot;
}

void flow_owner::RemoveHandedOverFlows(const pool_name& name) {
  served_pool* const pool = FindServedPool(name);
  if (pool == nullptr || !pool->new_owner) return;
  for (uint32_t slot = 0; slot < flows_.SlotLimit(); ++slot) {
    if (!flows_.IsOccupied(slot)) continue;
    const flow_record& flow = flows_.At(slot);
    const bool belongs_to_pool =
        flow.phase != flow_phase::kPassedOn && served_[flow.pool].get() == pool;
    if (belongs_to_pool) RemoveFlow(slot);
  }
  pool->state = {};
}

std::vector<pool_name> flow_owner::PoolsToHandOver() const {
  std::vector<pool_name> names;
  for (const auto& pool : served_) {
    if (pool->new_owner && pool->flow_count > 0) names.push_back(pool->name);
  }
  return names;
}

void flow_owner::SetInheritedLoads(const pool_name& name,
                                   const std::vector<upstream_load>& counts,
                                   time_point now) {
  served_pool* const pool = FindServedPool(name);
  if (pool == nullptr) return;
  for (const upstream_load& up : counts)
    SetInheritedCounts(pool->state, up.address, up.connections, up.slots, now);
}

std::vector<flow_entry> flow_owner::CollectFlowsForStandby(
    const pool_name& name, duration age, size_t most, time_point now) {
  std::vector<flow_entry> unreported;
  served_pool* const pool = FindServedPool(name);
  const uint32_t limit = flows_.SlotLimit();
  if (pool == nullptr || pool->new_owner || limit == 0) return unreported;
  const auto min_age_ms = static_cast<uint32_t>(ToMs(age));
  for (uint32_t i = 0;
       i < std::min(limit, kMaxStandbyScanSlots) && unreported.size() < most;
       ++i) {
    pool->standby_scan_slot = (pool->standby_scan_slot + 1) % limit;
    if (!flows_.IsOccupied(pool->standby_scan_slot)) continue;
    flow_record& flow = flows_.At(pool->standby_scan_slot);
    const bool is_due = flow.phase == flow_phase::kOpen &&
                        !flow.Has(kSentToStandby) &&
                        flow.key.proto == protocol::kTcp &&
                        MsSinceStart(now) - flow.opened_ms >= min_age_ms;
    if (!is_due || served_[flow.pool].get() != pool) continue;
    flow.Set(kSentToStandby);
    unreported.push_back(
        {flow.key, flow.upstream, flow.kind, flow.priority, 0});
  }
  return unreported;
}

void flow_owner::ClearSentToStandby(const pool_name& name) {
  const served_pool* const pool = FindServedPool(name);
  for (uint32_t slot = 0; slot < flows_.SlotLimit(); ++slot) {
    if (!flows_.IsOccupied(slot)) continue;
    flow_record& flow = flows_.At(slot);
    if (flow.phase == flow_phase::kOpen && served_[flow.pool].get() == pool)
      flow.Clear(kSentToStandby);
  }
}

}  // namespace radishyard
