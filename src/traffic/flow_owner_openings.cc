// Implements the part of flow_owner that admits openings, places them, and
// refuses them.
#include <cassert>

#include "traffic/flow_owner.h"

namespace radishyard {

// True if a packet of a flow whose opening was passed to another pool must be
// placed here after all: the caller has opened another flow from the same port,
// the other pool is served here by now, or the opening was exchanged.
bool flow_owner::MustPlacePassedOpening(const inbound_packet& in,
                                        const flow_record& flow) const {
  if (flow.phase != flow_phase::kPassedOn) return false;
  const bool is_other_flow = in.packet.IsSyn() && in.packet.seq != flow.syn_seq;
  return is_other_flow || IsPassedPoolServedHere(flow) ||
         MustKeepExchangedOpening(in, flow);
}

// True if pools have passed copies of an opening to each other, or in a ring,
// and this pool must keep it. The pool with the lowest tag keeps the opening;
// the others forward their copies.
bool flow_owner::MustKeepExchangedOpening(const inbound_packet& in,
                                          const flow_record& flow) const {
  return in.WasForwardedAs(forward_kind::kPassedOpening) &&
         flow.phase == flow_phase::kPassedOn && PoolRoute(in).tag < flow.pool;
}

bool flow_owner::HasPassedOpeningTo(uint32_t slot, uint16_t tag) const {
  const flow_record& flow = flows_.At(slot);
  return flow.phase == flow_phase::kPassedOn && flow.pool == tag;
}

// Compares the lease with the present time for each request, so that a balancer
// whose process was paused finds that its lease has expired.
bool flow_owner::HasLease(const pool_route& route, time_point now) const {
  const auto until = grants_.lease_deadlines.find(route.name);
  return route.role == pool_role::kOwner &&
         until != grants_.lease_deadlines.end() && now < until->second;
}

// Decides whether a UDP request may be sent to an upstream, and records it. A
// duplicate made by the fabric arrives within the packet lifetime; a later copy
// is a retransmission by the caller. Retransmissions of idempotent requests are
// placed again, those of non-idempotent requests are dropped as duplicates.
flow_owner::admission flow_owner::AdmitRequest(const inbound_packet& in,
                                               time_point now) {
  if (in.packet.proto != protocol::kUdp || in.port.kind != port_kind::kRequest)
    return admission::kNew;
  if (in.IsOfNonIdempotentRequest() && !HasLease(PoolRoute(in), now))
    return admission::kNoLease;
  const uint64_t digest =
      duplicate_filter::ComputeDigest(in.key, in.packet.payload);
  duplicate_filter& accepted_requests = in.IsOfNonIdempotentRequest()
                                            ? non_idempotent_requests_
                                            : idempotent_requests_;
  if (accepted_requests.Add(digest, now)) return admission::kNew;
  const auto retained_since = accepted_requests.RetainedSince(digest);
  if (in.port.idempotent && now - *retained_since > kMaxPacketLifetime) {
    accepted_requests.Refresh(digest, now);
    return admission::kRetransmission;
  }
  ++counters_.duplicates;
  return admission::kDuplicate;
}

// True for a copy of the SYN that opened a flow which has ended since.
bool flow_owner::IsDuplicateSynOfEndedFlow(const inbound_packet& in,
                                           const flow_record& flow) const {
  return in.packet.IsSyn() && flow.phase == flow_phase::kClosed &&
         flow.syn_seq == in.packet.seq;
}

void flow_owner::PlaceOpening(inbound_packet& in, bool may_have_executed,
                              uint32_t preferred_upstream, time_point now) {
  const pool_route* const next_pool = LeaveEvacuatedPool(in);
  served_pool& pool = *served_[ServedPoolIndex(in.pool)];
  const uint32_t slot = flows_.Insert(in.key);
  flow_record& flow = flows_.At(slot);
  flow.pool = ServedPoolIndex(in.pool);
  ++pool.flow_count;
  flow.kind = in.port.kind;
  flow.priority = in.port.priority;
  flow.last_seen_ms = MsSinceStart(now);
  flow.syn_seq = in.packet.seq;
  // An opening that went to the previous owner and back may have been passed
  // here before; its packet does not show it any more.
  if (in.WasForwardedAs(forward_kind::kPassedOpening) ||
      in.WasForwardedAs(forward_kind::kFromPreviousOwner))
    flow.Set(kMustNotBePassedOn);
  const bool is_new_owner = now - pool.served_since < kCallerRetryWindow;
  const bool request_may_have_executed =
      may_have_executed || withheld_response_flows_.Contains(in.hash);
  const bool is_udp = in.packet.proto == protocol::kUdp;
  if (is_udp && (request_may_have_executed || is_new_owner ||
                 MayBePlacedInOtherPool(in, now)))
    flow.Set(kMayHaveExecuted);
  held_openings_[slot].assign(in.bytes.begin(), in.bytes.end());
  // A retransmission is not passed on: its new owner might refuse it as not
  // executed.
  if (next_pool != nullptr && !request_may_have_executed) {
    TraceHop(in, "owner", "evacuated", now);
    PassOpening(slot, pool, *next_pool, in.Hops());
    return;
  }
  TraceHop(in, "owner", "open", now);
  ApplyDecision(slot,
                Open(pool.state,
                     {in.key,
                      in.port.kind,
                      in.port.priority,
                      slot,
                      {},
                      preferred_upstream},
                     now),
                now);
}

void flow_owner::ApplyDecision(uint32_t slot, const open_decision& decision,
                               time_point now) {
  flow_record& flow = flows_.At(slot);
  switch (decision.what) {
    case open_decision::kind::kQueued:
      ++counters_.queued;
      return;
    case open_decision::kind::kRefused:
      if (decision.why == refusal::kEvacuated && !flow.Has(kMayHaveExecuted))
        ++counters_.refused_evacuated;
      RefuseOpening(slot, held_openings_[slot]);
      return;
    case open_decision::kind::kPlaced:
      ++counters_.placed;
      flow.upstream = decision.upstream;
      flow.phase = flow_phase::kOpening;
      flow.Set(kHoldsConnection);
      SendHeldOpening(slot, now);
      return;
  }
}

// Sends the held opening to the flow's upstream. A SYN remains held, since it
// may have to be placed again.
void flow_owner::SendHeldOpening(uint32_t slot, time_point now) {
  flow_record& flow = flows_.At(slot);
  if (flow.attempt == 0)
    histograms_.queue_wait.Add(
        milliseconds(MsSinceStart(now) - flow.last_seen_ms));
  flow.opened_ms = MsSinceStart(now);
  const auto route = view_->ports.find({flow.key.proto, flow.key.service});
  const uint16_t upstream_port = route == view_->ports.end()
                                     ? flow.key.service.port
                                     : route->second.port.upstream_port;
  byte_buffer packet_bytes = held_openings_[slot];
  RewriteDestination(packet_bytes, {flow.upstream, upstream_port});
  sink_.SendToFabric(packet_bytes, StableHash(flow.key));
  if (flow.key.proto == protocol::kUdp) {
    flow.Set(kPayloadSent);
    held_openings_.erase(slot);
    return;
  }
  opening_timers_.push_back(
      {slot, flow.attempt, flow.key, now + timing_.opening_timeout});
}

// Refuses an opening before execution, with an RST or an ICMP message. No
// payload of it was forwarded to an upstream. It is dropped without a refusal
// if another balancer may have forwarded a copy.
void flow_owner::RefuseOpening(uint32_t slot, std::span<uint8_t> bytes) {
  assert(!flows_.At(slot).Has(kPayloadSent) &&
         "a request that may have been executed must not be refused");
  if (flows_.At(slot).Has(kMayHaveExecuted)) {
    ++counters_.unsafe_withheld;
    RemoveFlow(slot);
    return;
  }
  ++counters_.refused;
  failure why;
  const auto packet = ParsePacket(bytes, why);
  const uint64_t hash = StableHash(flows_.At(slot).key);
  if (packet && packet->proto == protocol::kTcp)
    sink_.SendToFabric(BuildReset(*packet), hash);
  if (packet && packet->proto == protocol::kUdp)
    sink_.SendToFabric(BuildPortUnreachable(bytes), hash);
  RemoveFlow(slot);
}

}  // namespace radishyard
