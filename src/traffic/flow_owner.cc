// Implements how a pool owner handles packets from callers: packets of flows
// with a record, openings and their refusal.
#include "traffic/flow_owner.h"

#include <algorithm>
#include <cassert>

namespace radishyard {
namespace {

constexpr uint16_t kNotServed = UINT16_MAX;

}  // namespace

flow_owner::flow_owner(traffic_sink& sink, traffic_counters& counters,
                       flow_upstream_cache& upstream_cache, time_point start,
                       flow_owner_timing timing)
    : sink_(sink),
      counters_(counters),
      upstream_cache_(upstream_cache),
      start_(start),
      timing_(timing),
      view_(std::make_shared<routing_view>()),
      last_sweep_at_(start) {}

void flow_owner::SetView(std::shared_ptr<const routing_view> view,
                         time_point now) {
  RecordEvacuations(*view, now);
  view_ = std::move(view);
  served_index_of_view_pool_.assign(view_->pools.size(), kNotServed);
  for (size_t i = 0; i < view_->pools.size(); ++i) {
    const pool_route& route = view_->pools[i];
    const auto found = std::ranges::find_if(
        served_,
        [&route](const auto& pool) { return pool->name == route.name; });
    if (found != served_.end())
      served_index_of_view_pool_[i] =
          static_cast<uint16_t>(found - served_.begin());
    if (route.role != pool_role::kNone) {
      ServePool(static_cast<uint16_t>(i), now);
    } else if (found != served_.end() && route.reachable) {
      StopServingPool(**found, route);
    }
  }
}

flow_owner::served_pool& flow_owner::ServePool(uint16_t view_pool,
                                               time_point now) {
  const pool_route& route = view_->pools[view_pool];
  uint16_t& index = served_index_of_view_pool_[view_pool];
  if (index == kNotServed) {
    index = static_cast<uint16_t>(served_.size());
    served_.push_back(std::make_unique<served_pool>());
    served_.back()->name = route.name;
  }
  served_pool& pool = *served_[index];
  const bool starts_serving =
      pool.new_owner.has_value() || pool.served_since == time_point{};
  if (starts_serving) pool.served_since = now;
  if (starts_serving && pool.flow_count == 0) pool.state = {};
  pool.new_owner.reset();
  if (route.table)
    Configure(pool.state, *route.table, route.name.domain, now,
              route.evacuated);
  if (route.evacuated) EmptyEvacuatedPool(pool, now);
  return pool;
}

uint16_t flow_owner::ServedPoolIndex(uint16_t view_pool) const {
  const uint16_t index = served_index_of_view_pool_[view_pool];
  assert(index != kNotServed && "the pool must be served here");
  return index;
}

flow_reservation flow_owner::ReservationFor(const flow_record& flow) const {
  return {flow.upstream, flow.key.caller.address, flow.kind, flow.priority};
}

flow_owner::outcome flow_owner::HandleCallerPacket(inbound_packet& in,
                                                   std::optional<uint32_t> slot,
                                                   time_point now) {
  return slot ? HandleKnownFlow(in, *slot, now) : HandleUnknownFlow(in, now);
}

flow_owner::outcome flow_owner::HandleKnownFlow(inbound_packet& in,
                                                uint32_t slot, time_point now) {
  flow_record& flow = flows_.At(slot);
  if (IsDuplicateSynOfEndedFlow(in, flow)) return outcome::kDone;
  const bool is_served_here = PoolRoute(in).role != pool_role::kNone;
  const bool reopens_ended_flow =
      flow.phase == flow_phase::kClosed && in.IsOpening();
  if (is_served_here &&
      (reopens_ended_flow || MustPlacePassedOpening(in, flow))) {
    if (reopens_ended_flow && in.IsOfIdempotentRequest())
      return HandleRequestAfterResponse(in, slot, now);
    const bool was_admitted_here =
        MustKeepExchangedOpening(in, flow) && !in.IsOfNonIdempotentRequest();
    RemoveFlow(slot);
    if (!was_admitted_here || now < placement_resumes_at_)
      return HandleUnknownFlow(in, now);
    // The first copy was admitted here and passed to another pool, which may
    // have placed it already.
    PlaceOpening(in, true, 0, now);
    return outcome::kDone;
  }
  if (flow.phase == flow_phase::kPassedOn) {
    ForwardToPassedPool(in, flow, now);
    return outcome::kDone;
  }
  const auto& new_owner = served_[flow.pool]->new_owner;
  if (new_owner && (flow.phase != flow_phase::kClosed || in.IsOpening())) {
    ForwardToNewOwner(in, flow, *new_owner);
    return outcome::kDone;
  }
  if (flow.phase == flow_phase::kOpening && in.packet.proto == protocol::kTcp &&
      !in.packet.Has(kSyn)) {
    return AbandonOpening(in, slot, now);
  }
  return ForwardOnExistingFlow(in, slot, now);
}

// Abandons an opening whose caller sends further packets, although the upstream
// that was chosen here has not sent a SYN-ACK. Another balancer has placed a
// copy of the SYN, and the upstream that it chose serves the flow.
flow_owner::outcome flow_owner::AbandonOpening(inbound_packet& in,
                                               uint32_t slot, time_point now) {
  ReleaseConnection(flows_.At(slot), flow_end::kAbandoned, now);
  RemoveFlow(slot);
  return in.packet.Has(kRst) ? outcome::kDone : outcome::kUnknownFlow;
}

// Forwards a packet of a flow that has an upstream. If the flow still waits for
// one, the packet is a retransmission of its opening and is dropped.
flow_owner::outcome flow_owner::ForwardOnExistingFlow(inbound_packet& in,
                                                      uint32_t slot,
                                                      time_point now) {
  flow_record& flow = flows_.At(slot);
  if (flow.phase == flow_phase::kQueued)
    return outcome::kDone;  // The opening waits in the queue already.
  if (in.IsOfNonIdempotentRequest() && MustForwardToPreviousOwner(in)) {
    ForwardToPreviousOwner(in);
    return outcome::kDone;
  }
  const admission admission_result = AdmitRequest(in, now);
  if (admission_result == admission::kNoLease) return outcome::kNeedsLease;
  if (admission_result == admission::kDuplicate) return outcome::kDone;
  ForwardToUpstream(in, flow, now);
  if (in.packet.proto != protocol::kTcp) return outcome::kDone;
  if (in.packet.Has(kRst)) EndFlow(slot, flow_end::kAbandoned, now);
  EndFlowByFins(slot, flow_end::kCompleted, now);
  return outcome::kDone;
}

bool flow_owner::IsPassedPoolServedHere(const flow_record& flow) const {
  const auto port = view_->ports.find({flow.key.proto, flow.key.service});
  return port != view_->ports.end() &&
         std::ranges::any_of(port->second.pools, [this, &flow](uint16_t index) {
           const pool_route& route = view_->pools[index];
           return route.tag == flow.pool && route.role != pool_role::kNone;
         });
}

// Marks the flow as confirmed. Where the opening was handled by another
// balancer, only a packet with payload confirms the flow: late acknowledgements
// of an ended flow can create a record here, and must not keep it counted.
void flow_owner::ConfirmFlow(flow_record& flow, const inbound_packet& in) {
  if (!flow.WasOpenedElsewhere() || !in.packet.payload.empty())
    flow.Clear(kUnconfirmed);
}

// Handles an idempotent request from a caller's port whose last request has got
// a response. It is a new request, or a retransmission by a caller that has not
// received the whole response. Such a caller would combine the parts that it
// has with a response from another upstream. A retransmission is therefore
// placed only on the upstream that has responded, and is dropped until that one
// has room.
flow_owner::outcome flow_owner::HandleRequestAfterResponse(inbound_packet& in,
                                                           uint32_t slot,
                                                           time_point now) {
  if (now < placement_resumes_at_)
    return outcome::kDone;  // The caller will retransmit it.
  const admission admission_result = AdmitRequest(in, now);
  if (admission_result == admission::kDuplicate) return outcome::kDone;
  const bool is_retransmission = admission_result == admission::kRetransmission;
  flow_record& flow = flows_.At(slot);
  const uint32_t preferred_upstream = is_retransmission ? flow.upstream : 0;
  const pool_state& pool = served_[ServedPoolIndex(in.pool)]->state;
  if (is_retransmission &&
      MustWaitFor(pool, preferred_upstream, flow.kind, now)) {
    flow.last_seen_ms = MsSinceStart(now);
    return outcome::kDone;
  }
  RemoveFlow(slot);
  PlaceOpening(in, is_retransmission, preferred_upstream, now);
  return outcome::kDone;
}

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

void flow_owner::ForwardToUpstream(inbound_packet& in, flow_record& flow,
                                   time_point now) {
  flow.last_seen_ms = MsSinceStart(now);
  ConfirmFlow(flow, in);
  if (!in.packet.payload.empty()) flow.Set(kPayloadSent);
  if (in.packet.Has(kFin) && in.packet.proto == protocol::kTcp)
    flow.Set(kCallerFin);
  RewriteDestination(in.bytes, {flow.upstream, in.port.upstream_port});
  sink_.SendToFabric(in.bytes, in.hash);
  TraceHop(in, "owner", "to-upstream", now);
}

void flow_owner::ForwardToPassedPool(const inbound_packet& in,
                                     flow_record& flow, time_point now) {
  // The record of an open feed must remain: without it, the next datagram would
  // be taken for an opening. Requests that reuse the caller's port may be
  // placed here again once the record has expired.
  if (flow.kind == port_kind::kFeed) flow.last_seen_ms = MsSinceStart(now);
  if (in.Hops() >= kMaxHops) {
    ++counters_.hop_limit;
    return;
  }
  const auto port = view_->ports.find({in.key.proto, in.key.service});
  if (port == view_->ports.end()) return;
  for (const uint16_t index : port->second.pools) {
    const pool_route& route = view_->pools[index];
    if (route.tag != flow.pool || !route.reachable) continue;
    sink_.SendToBalancer(
        route.owner,
        {forward_kind::kPassedOpening, static_cast<uint8_t>(in.Hops() + 1),
         route.tag, 0, in.ParentSpan()},
        in.bytes);
    return;
  }
}

// Forwards a packet of a flow whose pool has a new owner, with the upstream of
// the flow, so that the new owner can create a record of it. A duplicate of a
// request that was placed here is dropped.
void flow_owner::ForwardToNewOwner(const inbound_packet& in,
                                   const flow_record& flow,
                                   const endpoint& to) {
  if (IsDuplicate(in)) {
    ++counters_.duplicates;
    return;
  }
  if (in.Hops() >= kMaxHops) {
    ++counters_.hop_limit;
    return;
  }
  ++counters_.forwarded;
  sink_.SendToBalancer(
      to,
      {forward_kind::kFromPreviousOwner, static_cast<uint8_t>(in.Hops() + 1),
       PoolRoute(in).tag, flow.upstream, in.ParentSpan()},
      in.bytes);
}

bool flow_owner::MustForwardToPreviousOwner(const inbound_packet& in) const {
  return PoolRoute(in).previous_owner &&
         !in.WasForwardedAs(forward_kind::kFromPreviousOwner);
}

void flow_owner::ForwardToPreviousOwner(const inbound_packet& in) {
  const pool_route& route = PoolRoute(in);
  sink_.SendToBalancer(
      *route.previous_owner,
      {forward_kind::kToPreviousOwner, static_cast<uint8_t>(in.Hops() + 1),
       route.tag, in.ReportedUpstream(), in.ParentSpan()},
      in.bytes);
}

flow_owner::outcome flow_owner::HandleUnknownFlow(inbound_packet& in,
                                                  time_point now) {
  assert(PoolRoute(in).role != pool_role::kNone &&
         "the pool must be served here");
  if (MustForwardToPreviousOwner(in)) {
    ForwardToPreviousOwner(in);
    return outcome::kDone;
  }
  if (!in.IsOpening()) return outcome::kUnknownFlow;
  if (now < placement_resumes_at_)
    return outcome::kDone;  // The caller will retransmit it.
  const admission admission_result = AdmitRequest(in, now);
  if (admission_result == admission::kNoLease) return outcome::kNeedsLease;
  if (admission_result != admission::kDuplicate)
    PlaceOpening(in, admission_result == admission::kRetransmission, 0, now);
  return outcome::kDone;
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

void flow_owner::AdoptFlowAndForward(inbound_packet& in, uint32_t upstream,
                                     time_point now) {
  auto slot = flows_.Find(in.key);
  const bool is_new = !slot;
  if (is_new && (in.packet.Has(kFin) || in.packet.Has(kRst))) {
    RecordEndedFlow(in, upstream, now);
  } else if (is_new) {
    AdoptFlow(in, upstream, now);
  }
  slot = flows_.Find(in.key);
  ForwardToUpstream(in, flows_.At(*slot), now);
  if (is_new && in.port.kind == port_kind::kRequest) {
    flows_.At(*slot).Set(kUnconfirmed);
  }
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

void flow_owner::TraceHop(const inbound_packet& in, const char* name,
                          const char* result, time_point now) {
  if (view_->trace_one_in == 0 || in.hash % view_->trace_one_in != 0) return;
  sink_.RecordHop({in.hash, NewSpanId(in.hash, now), in.ParentSpan(), name,
                   result, in.key, now});
}

}  // namespace radishyard
