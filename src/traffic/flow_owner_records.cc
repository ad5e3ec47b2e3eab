// Implements the part of flow_owner that creates, ends and removes records of
// flows, and releases what they hold.
#include "traffic/flow_owner.h"

namespace radishyard {

flow_reservation flow_owner::ReservationFor(const flow_record& flow) const {
  return {flow.upstream, flow.key.caller.address, flow.kind, flow.priority};
}

uint32_t flow_owner::AdoptFlow(const inbound_packet& in, uint32_t upstream,
                               time_point now) {
  return AdoptEntry(
      {in.key, upstream, in.port.kind, in.port.priority, kHoldsConnection},
      ServedPoolIndex(in.pool), now);
}

void flow_owner::ReleaseConnection(flow_record& flow, flow_end reason,
                                   time_point now) {
  if (!flow.Has(kHoldsConnection)) return;
  flow.Clear(kHoldsConnection);
  const duration held_time = milliseconds(MsSinceStart(now) - flow.opened_ms);
  if (flow.kind == port_kind::kRequest) histograms_.slot_hold.Add(held_time);
  ReleaseFlow(served_[flow.pool]->state, ReservationFor(flow), reason,
              held_time, now);
}

void flow_owner::EndFlow(uint32_t slot, flow_end reason, time_point now) {
  flow_record& flow = flows_.At(slot);
  if (flow.phase == flow_phase::kClosed) return;
  ReleaseConnection(flow, reason, now);
  flow.phase = flow_phase::kClosed;
  ++closed_count_;
  held_openings_.erase(slot);
  upstream_cache_.Remove(flow.key);
  linger_timers_.push_back({slot, flow.key, now + timing_.linger});
}

// Releases the connection of a request once its upstream has sent FIN, and ends
// a flow once both sides have sent FIN.
void flow_owner::EndFlowByFins(uint32_t slot, flow_end reason, time_point now) {
  flow_record& flow = flows_.At(slot);
  if (!flow.Has(kUpstreamFin)) return;
  if (flow.kind == port_kind::kRequest) ReleaseConnection(flow, reason, now);
  if (flow.Has(kCallerFin)) EndFlow(slot, reason, now);
}

void flow_owner::RemoveFlow(uint32_t slot) {
  const flow_phase phase = flows_.At(slot).phase;
  if (phase != flow_phase::kPassedOn)
    --served_[flows_.At(slot).pool]->flow_count;
  if (phase == flow_phase::kClosed || phase == flow_phase::kPassedOn)
    --closed_count_;
  held_openings_.erase(slot);
  flows_.Erase(slot);
}

}  // namespace radishyard
