// The upstream's direction at the owner: answers, ends of flows, and flows
// learned from them.
#include <cassert>

#include "traffic/flow_owner.h"

namespace radishyard {

flow_owner::outcome flow_owner::HandleUpstreamPacket(
    inbound_packet& in, std::optional<uint32_t> slot, time_point now) {
  if (slot && flows_.At(*slot).phase == flow_phase::kPassedOn) {
    RemoveFlow(*slot);  // The pool that it was passed to is served here by now.
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
  } else if (MustAskPreviousOwner(in)) {
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

// The first packet from the upstream of an opening. False: it must not reach
// the caller.
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
    ++counters_.stale_answers;  // Of an earlier connection with the same ports.
    return false;
  }
  const duration answer_time = milliseconds(MsSinceStart(now) - flow.opened_ms);
  if (in.packet.proto == protocol::kTcp) times_.opening.Add(answer_time);
  RecordResponse(pool, flow.upstream, answer_time, now);
  flow.phase = flow_phase::kOpen;
  if (in.packet.proto == protocol::kTcp) flow.Set(kUnconfirmed);
  held_openings_.erase(slot);
  return true;
}

// Places an opening a second time. No payload was forwarded: the caller had no
// SYN-ACK yet.
void flow_owner::RetryOpening(uint32_t slot, time_point now) {
  flow_record& flow = flows_.At(slot);
  assert(!flow.Has(kPayloadSent) && "payload is never placed twice");
  const open_request request{flow.key, flow.kind, flow.priority, slot};
  const auto next = RetryOnOtherUpstream(served_[flow.pool]->state, request,
                                         flow.upstream, now);
  if (!next) {
    ReleaseConnection(flow, flow_end::kFailed, now);
    RefuseOpening(slot, held_openings_[slot]);
    return;
  }
  ++counters_.replaced;
  flow.upstream = *next;
  ++flow.attempt;
  SendHeldOpening(slot, now);
}

// Part of an answer to a repeatable request is dropped: other parts went down
// with the previous owner, and the caller would join it with the answer of
// another upstream once it has sent the request again.
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
  inbound_packet copy = in;
  ForwardToCaller(copy);
  TraceHop(in, "owner", "learned", now);
}

void flow_owner::ForwardToCaller(inbound_packet& in) {
  RewriteSource(in.bytes, in.key.service);
  sink_.SendToFabric(in.bytes, in.hash);
}

}  // namespace radishyard
