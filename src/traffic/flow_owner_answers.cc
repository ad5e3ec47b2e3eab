// Implements how a pool owner handles packets from upstreams: responses, the
// end of flows, and flows that it has no record of.
#include <cassert>

#include "traffic/flow_owner.h"

namespace radishyard {

flow_owner::outcome flow_owner::HandleUpstreamPacket(
    inbound_packet& in, std::optional<uint32_t> slot, time_point now) {
  if (slot && flows_.At(*slot).phase == flow_phase::kPassedOn) {
    RemoveFlow(*slot);  // The pool that has the opening is served here by now.
    slot.reset();
  }
  if (slot) {
    const flow_record& flow = flows_.At(*slot);
    const auto& new_owner = served_[flow.pool]->new_owner;
    if (new_owner && flow.phase != flow_phase::kClosed) {
      ForwardToNewOwner(in, flow, *new_owner);
    } else {
      HandleResponse(in, *slot, now);
    }
  } else if (MustForwardToPreviousOwner(in)) {
    ForwardToPreviousOwner(in);
  } else {
    AdoptFromUpstream(in, now);
  }
  return outcome::kDone;
}

void flow_owner::HandleResponse(inbound_packet& in, uint32_t slot,
                                time_point now) {
  flow_record& flow = flows_.At(slot);
  if (flow.upstream != in.packet.source.address) {
    ++counters_.stale_answers;
    return;
  }
  flow.last_seen_ms = MsSinceStart(now);
  ConfirmFlow(flow, in);
  if (flow.phase == flow_phase::kOpening &&
      !HandleOpeningResponse(in, slot, now))
    return;
  ForwardToCaller(in);
  TraceHop(in, "owner", "to-caller", now);
  if (in.packet.proto == protocol::kUdp) {
    if (flow.kind == port_kind::kRequest)
      EndFlow(slot, flow_end::kCompleted, now);
    return;
  }
  if (in.packet.Has(kRst)) {
    EndFlow(slot, flow_end::kFailed, now);
    return;
  }
  if (in.packet.Has(kFin)) flow.Set(kUpstreamFin);
  EndFlowByFins(slot, flow_end::kCompleted, now);
}

// Handles the first packet from the upstream of an opening.
// \returns false if the packet must not be forwarded to the caller.
bool flow_owner::HandleOpeningResponse(const inbound_packet& in, uint32_t slot,
                                       time_point now) {
  flow_record& flow = flows_.At(slot);
  pool_state& pool = served_[flow.pool]->state;
  if (in.packet.proto == protocol::kTcp && in.packet.Has(kRst)) {
    RecordReset(pool, flow.upstream, now);
    RetryOpening(slot, now);
    return false;
  }
  if (in.packet.proto == protocol::kTcp && !in.packet.Has(kSyn)) {
    // The packet belongs to an earlier connection with the same ports.
    ++counters_.stale_answers;
    return false;
  }
  const duration response_time =
      milliseconds(MsSinceStart(now) - flow.opened_ms);
  if (in.packet.proto == protocol::kTcp) histograms_.opening.Add(response_time);
  RecordResponse(pool, flow.upstream, response_time, now);
  flow.phase = flow_phase::kOpen;
  if (in.packet.proto == protocol::kTcp) flow.Set(kUnconfirmed);
  held_openings_.erase(slot);
  return true;
}

// Places an opening on another upstream. This is safe since no payload was
// forwarded: the caller has not received a SYN-ACK yet.
void flow_owner::RetryOpening(uint32_t slot, time_point now) {
  flow_record& flow = flows_.At(slot);
  assert(!flow.Has(kPayloadSent) &&
         "an opening with forwarded payload must not be placed again");
  const open_request request{flow.key, flow.kind, flow.priority, slot};
  const auto other_upstream = RetryOnOtherUpstream(served_[flow.pool]->state,
                                                   request, flow.upstream, now);
  if (!other_upstream) {
    ReleaseConnection(flow, flow_end::kFailed, now);
    RefuseOpening(slot, held_openings_[slot]);
    return;
  }
  ++counters_.replaced;
  flow.upstream = *other_upstream;
  ++flow.attempt;
  SendHeldOpening(slot, now);
}

// Handles a packet from an upstream for a flow without a record. A part of a
// response to an idempotent request is dropped: other parts may have been lost
// with the previous owner, and after a retransmission the caller would combine
// this part with the response of another upstream. Other flows are recorded,
// and the packet is forwarded to the caller.
void flow_owner::AdoptFromUpstream(const inbound_packet& in, time_point now) {
  if (in.IsOfIdempotentRequest()) {
    ++counters_.stale_answers;
    withheld_response_flows_.Add(in.hash, now);
    return;
  }
  const bool ends = in.packet.proto == protocol::kTcp &&
                    (in.packet.Has(kRst) || in.packet.Has(kFin));
  if (in.HasUpstreamAffinity() && !ends) {
    AdoptFlow(in, in.packet.source.address, now);
  } else {
    RecordEndedFlow(in, in.packet.source.address, now);
  }
  inbound_packet forwarded = in;
  ForwardToCaller(forwarded);
  TraceHop(in, "owner", "learned", now);
}

void flow_owner::ForwardToCaller(inbound_packet& in) {
  RewriteSource(in.bytes, in.key.service);
  sink_.SendToFabric(in.bytes, in.hash);
}

}  // namespace radishyard
