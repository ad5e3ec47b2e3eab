// Implements how a pool owner takes over and gives up pools, and which way each
// packet from a caller takes.
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

}  // namespace radishyard
