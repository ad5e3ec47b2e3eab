// The upstream's direction at the owner: answers, ends of flows, and flows
// learned from them.
#include <cassert>

#include "traffic/flow_owner.h"

namespace radishyard {

flow_owner::outcome flow_owner::HandleUpstream(inbound& in,
                                               std::optional<uint32_t> slot,
                                               time_point now) {
  if (slot && flows_.At(*slot).phase == flow_phase::kPassedOn) {
    Remove(*slot);  // The pool that it was passed to is served here by now.
    slot.reset();
  }
  if (slot) {
    const flow_record& flow = flows_.At(*slot);
    const auto& moved_to = served_[flow.pool]->moved_to;
    if (moved_to && flow.phase != flow_phase::kClosed) {
      FollowMoved(in, flow, *moved_to);
    } else {
      HandleAnswer(in, *slot, now);
    }
  } else if (AsksPrevious(in)) {
    AskPrevious(in);
  } else {
    LearnFromUpstream(in, now);
  }
  return outcome::kDone;
}

void flow_owner::HandleAnswer(inbound& in, uint32_t slot, time_point now) {
  flow_record& flow = flows_.At(slot);
  if (flow.upstream != in.packet.source.address) {
    ++counters_.stale_answers;
    return;
  }
  flow.last_seen_ms = Ms(now);
  Confirm(flow, in);
  if (flow.phase == flow_phase::kOpening && !HandleOpeningAnswer(in, slot, now))
    return;
  ForwardToCaller(in);
  Trace(in, "owner", "to-caller", now);
  if (in.packet.proto == protocol::kUdp) {
    if (flow.kind == port_kind::kRequest) End(slot, flow_end::kCompleted, now);
    return;
  }
  if (in.packet.Has(kRst)) {
    End(slot, flow_end::kFailed, now);
    return;
  }
  if (in.packet.Has(kFin)) flow.Set(kUpstreamFin);
  EndByFins(slot, flow_end::kCompleted, now);
}

// The first packet from the upstream of an opening. False: it must not reach
// the caller.
bool flow_owner::HandleOpeningAnswer(const inbound& in, uint32_t slot,
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
  const duration answer_time = milliseconds(Ms(now) - flow.opened_ms);
  if (in.packet.proto == protocol::kTcp) times_.opening.Add(answer_time);
  RecordResponse(pool, flow.upstream, answer_time, now);
  flow.phase = flow_phase::kOpen;
  if (in.packet.proto == protocol::kTcp) flow.Set(kUnconfirmed);
  held_.erase(slot);
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
    Release(flow, flow_end::kFailed, now);
    Refuse(slot, held_[slot]);
    return;
  }
  ++counters_.replaced;
  flow.upstream = *next;
  ++flow.attempt;
  SendHeld(slot, now);
}

// Part of an answer to a repeatable request is dropped: other parts went down
// with the previous owner, and the caller would join it with the answer of
// another upstream once it has sent the request again.
void flow_owner::LearnFromUpstream(const inbound& in, time_point now) {
  if (in.IsRepeatable()) {
    ++counters_.stale_answers;
    withheld_answers_.Add(in.hash, now);
    return;
  }
  const bool ends = in.packet.proto == protocol::kTcp &&
                    (in.packet.Has(kRst) || in.packet.Has(kFin));
  if (in.IsWitnessed() && !ends) {
    AdoptFlow(in, in.packet.source.address, now);
  } else {
    RememberEnd(in, in.packet.source.address, now);
  }
  inbound copy = in;
  ForwardToCaller(copy);
  Trace(in, "owner", "learned", now);
}

void flow_owner::ForwardToCaller(inbound& in) {
  RewriteSource(in.bytes, in.key.service);
  sink_.SendToFabric(in.bytes, in.hash);
}

}  // namespace radishyard
