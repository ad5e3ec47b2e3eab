// Implements the ingress part of the packet path, and the packets that
// balancers exchange about flows without a record.
#include "traffic/traffic_core.h"

#include <algorithm>

namespace radishyard {
namespace {

// Bounds the lookups that a flood of packets of unknown flows can cause.
constexpr double kUpstreamLookupsPerSecond = 2000;
constexpr double kUpstreamLookupBurst = 2000;
constexpr size_t kMaxDeferredDatagrams = 1000;
constexpr duration kDeferredRetryInterval = 50ms;
constexpr duration kMaxDeferral = 1s;

}  // namespace

traffic_core::traffic_core(traffic_sink& sink, size_t upstream_cache_entries,
                           time_point start, flow_owner_timing timing)
    : sink_(sink),
      upstream_cache_(upstream_cache_entries),
      start_(start),
      view_(std::make_shared<routing_view>()),
      owner_(sink, counters_, upstream_cache_, start, timing),
      lookup_tokens_(kUpstreamLookupBurst),
      lookup_tokens_refilled_at_(start) {}

void traffic_core::SetView(std::shared_ptr<const routing_view> view,
                           time_point now) {
  view_ = view;
  owner_.SetView(std::move(view), now);
}

void traffic_core::RecordStandbyFlows(const flow_batch& batch, time_point now) {
  for (const flow_entry& entry : batch.flows)
    upstream_cache_.Put(entry.key, entry.upstream, MsSinceStart(now));
}

bool traffic_core::IsTrustedSender(const endpoint& sender,
                                   const geneve_frame& frame) const {
  if (frame.forward) return view_->balancers.contains(sender);
  return std::ranges::find(view_->fabric, sender) != view_->fabric.end();
}

void traffic_core::Receive(std::span<uint8_t> datagram, const endpoint& sender,
                           time_point now) {
  ++counters_.packets;
  current_datagram_ = datagram;
  current_sender_ = sender;
  failure why;
  const auto frame = DecodeGeneve(datagram, why);
  const auto packet = frame ? ParsePacket(frame->inner, why) : std::nullopt;
  if (!packet) {
    ++counters_.malformed;
    return;
  }
  if (!IsTrustedSender(sender, *frame)) {
    ++counters_.untrusted;
    return;
  }
  inbound_packet in;
  in.packet = *packet;
  in.bytes = datagram.last(frame->inner.size());
  in.sender = sender;
  in.forward = frame->forward;
  const auto port = view_->ports.find({packet->proto, packet->destination});
  if (port != view_->ports.end()) {
    HandleCallerPacket(in, port->second, now);
    return;
  }
  const auto route = view_->upstreams.find({packet->proto, packet->source});
  if (route == view_->upstreams.end()) {
    ++counters_.no_service;
    return;
  }
  in.key = {packet->destination, route->second.service, packet->proto};
  in.port = route->second.port;
  in.pool = route->second.pool;
  HandleUpstreamPacket(in, now);
}

void traffic_core::HandleCallerPacket(inbound_packet& in,
                                      const port_route& route, time_point now) {
  in.key = {in.packet.source, in.packet.destination, in.packet.proto};
  in.hash = StableHash(in.key);
  in.port = route.port;
  if (in.WasForwardedAs(forward_kind::kUpstreamLookup)) {
    ReplyToUpstreamLookup(in);
    return;
  }
  const auto slot = owner_.flows().Find(in.key);
  if (!ChoosePool(in, route, slot)) {
    ++counters_.no_pool;
    return;
  }
  if (in.WasForwardedAs(forward_kind::kUpstreamLookupReply)) {
    ApplyUpstreamLookupReply(in, now);
  } else if (slot && in.WasForwardedAs(forward_kind::kToPreviousOwner) &&
             owner_.HasPassedOpeningTo(*slot, in.forward->pool)) {
    ReturnToSender(in);
  } else if (slot) {
    HandleOutcome(in, owner_.HandleCallerPacket(in, slot, now), now);
  } else if (in.WasForwardedAs(forward_kind::kToPreviousOwner)) {
    ReturnUnlessDuplicate(in);
  } else {
    ServeOrForward(in, now);
  }
}

// Chooses the pool of a caller's packet. A packet from another balancer carries
// the tag of its pool. For others it is the pool of the flow's upstream, if
// that is known here, or else the result of weighted rendezvous hashing.
bool traffic_core::ChoosePool(inbound_packet& in, const port_route& route,
                              std::optional<uint32_t> slot) {
  std::optional<uint16_t> pool;
  if (in.forward) pool = FindPoolByTag(route, in.forward->pool);
  if (!pool && !in.forward && in.HasUpstreamAffinity() && !in.packet.IsSyn()) {
    if (const uint32_t upstream = FindUpstream(in, slot))
      pool = FindPoolOfUpstream(in, upstream);
  }
  if (!pool) {
    pool = in.MustKeepItsPool()
               ? PickPoolBeforeEvacuation(*view_, route, in.hash)
               : PickPool(*view_, route, in.hash);
  }
  if (!pool) return false;
  in.pool = *pool;
  return true;
}

// Returns the address of the flow's upstream, or 0 if it is unknown. If the
// flow is open here, its record makes a lookup in the cache unnecessary.
uint32_t traffic_core::FindUpstream(const inbound_packet& in,
                                    std::optional<uint32_t> slot) const {
  if (slot) {
    const flow_record& flow = owner_.flows().At(*slot);
    if (flow.phase == flow_phase::kOpen) return flow.upstream;
  }
  return upstream_cache_.Get(in.hash);
}

std::optional<uint16_t> traffic_core::FindPoolByTag(const port_route& route,
                                                    uint16_t tag) const {
  const auto found = std::ranges::find_if(
      route.pools,
      [this, tag](uint16_t index) { return view_->pools[index].tag == tag; });
  if (found == route.pools.end()) return std::nullopt;
  return *found;
}

std::optional<uint16_t> traffic_core::FindPoolOfUpstream(
    const inbound_packet& in, uint32_t upstream) const {
  const auto found =
      view_->upstreams.find({in.key.proto, {upstream, in.port.upstream_port}});
  if (found == view_->upstreams.end() ||
      found->second.service != in.key.service)
    return std::nullopt;
  return found->second.pool;
}

void traffic_core::ServeOrForward(inbound_packet& in, time_point now) {
  const bool use_known_upstream =
      in.HasUpstreamAffinity() && !in.packet.IsSyn();
  uint32_t known_upstream = use_known_upstream ? in.ReportedUpstream() : 0;
  if (use_known_upstream && known_upstream == 0)
    known_upstream = upstream_cache_.Get(in.hash);
  const pool_route& route = view_->pools[in.pool];
  if (route.role == pool_role::kNone) {
    ForwardToOwner(in,
                   in.WasForwardedAs(forward_kind::kPassedOpening)
                       ? forward_kind::kPassedOpening
                       : forward_kind::kCallerToOwner,
                   known_upstream, now);
    return;
  }
  const auto pool_of_known_upstream =
      known_upstream == 0 ? std::nullopt
                          : FindPoolOfUpstream(in, known_upstream);
  const bool is_served_here =
      pool_of_known_upstream &&
      view_->pools[*pool_of_known_upstream].role != pool_role::kNone;
  if (is_served_here && (!route.previous_owner ||
                         in.WasForwardedAs(forward_kind::kFromPreviousOwner))) {
    in.pool = *pool_of_known_upstream;
    owner_.AdoptFlowAndForward(in, known_upstream, now);
    return;
  }
  const flow_owner::outcome result =
      owner_.HandleCallerPacket(in, std::nullopt, now);
  if (result == flow_owner::outcome::kUnknownFlow && pool_of_known_upstream &&
      !is_served_here) {
    in.pool = *pool_of_known_upstream;
    ForwardToOwner(in, forward_kind::kCallerToOwner, known_upstream, now);
    return;
  }
  HandleOutcome(in, result, now);
}

void traffic_core::HandleOutcome(inbound_packet& in, flow_owner::outcome result,
                                 time_point now) {
  if (result == flow_owner::outcome::kUnknownFlow &&
      !ForwardToEvacuatedPool(in, now))
    SendUpstreamLookups(in, now);
  if (result == flow_owner::outcome::kNeedsLease) DeferDatagram(now);
}

// Forwards a packet of a flow without a record here to the owner of the
// evacuated pool that the flow may have been placed in before the evacuation.
// \returns false if there is none, or if that owner has sent the packet here.
bool traffic_core::ForwardToEvacuatedPool(inbound_packet& in, time_point now) {
  const auto port = view_->ports.find({in.key.proto, in.key.service});
  if (port == view_->ports.end() ||
      in.WasForwardedAs(forward_kind::kPassedOpening))
    return false;
  const auto pool = PickPoolBeforeEvacuation(*view_, port->second, in.hash);
  if (!pool || *pool == in.pool || !view_->pools[*pool].evacuated ||
      view_->pools[*pool].role != pool_role::kNone)
    return false;
  in.pool = *pool;
  ForwardToOwner(in, forward_kind::kCallerToOwner, 0, now);
  return true;
}

void traffic_core::DeferDatagram(time_point now) {
  if (deferred_.size() >= kMaxDeferredDatagrams) {
    ++counters_.unsafe_withheld;
    return;
  }
  deferred_.push_back({{current_datagram_.begin(), current_datagram_.end()},
                       current_sender_,
                       first_deferred_at_.value_or(now)});
}

// Handles deferred datagrams again from the start, because their route may have
// changed: a new owner must wait for its lease before it places non-idempotent
// requests, a previous owner may have given up the pool meanwhile, and a roster
// with another owner may have arrived.
void traffic_core::RetryDeferredDatagrams(time_point now) {
  if (deferred_.empty() || now < next_deferred_retry_at_) return;
  next_deferred_retry_at_ = now + kDeferredRetryInterval;
  std::vector<deferred_datagram> datagrams = std::exchange(deferred_, {});
  for (deferred_datagram& datagram : datagrams) {
    if (now - datagram.first_deferred_at > kMaxDeferral) {
      ++counters_.unsafe_withheld;
      continue;
    }
    first_deferred_at_ = datagram.first_deferred_at;
    Receive(datagram.bytes, datagram.sender, now);
    first_deferred_at_.reset();
  }
}

void traffic_core::Tick(time_point now) {
  RetryDeferredDatagrams(now);
  owner_.Tick(now);
}

// True if the owner of the pool according to the view here has forwarded the
// packet, because its own view names this balancer or a third one. Until both
// have the same roster they would send the packet to each other, and drop it at
// the hop limit within a millisecond. Either view may be the older one, so the
// packet is sent back after a wait that grows with the hops, 500 ms in all.
// Requests that their callers retransmit need no wait, and a copy that is
// placed late could be executed twice.
bool traffic_core::MustWaitForRoster(const inbound_packet& in,
                                     forward_kind kind, time_point now) const {
  const bool is_retransmitted =
      in.packet.proto != protocol::kUdp ||
      (kind != forward_kind::kUpstreamToOwner && in.port.idempotent);
  if (is_retransmitted || !in.forward ||
      in.sender != view_->pools[in.pool].owner)
    return false;
  const duration wait = (in.Hops() - 1) * kDeferredRetryInterval;
  return now - first_deferred_at_.value_or(now) < wait;
}

void traffic_core::ForwardToOwner(inbound_packet& in, forward_kind kind,
                                  uint32_t known_upstream, time_point now) {
  const pool_route& route = view_->pools[in.pool];
  if (in.Hops() >= kMaxHops) {
    ++counters_.hop_limit;
    return;
  }
  if (!route.reachable) {
    ++counters_.no_pool;
    return;
  }
  if (MustWaitForRoster(in, kind, now)) {
    DeferDatagram(now);
    return;
  }
  ++counters_.forwarded;
  forward_option option{kind, static_cast<uint8_t>(in.Hops() + 1), route.tag,
                        known_upstream, 0};
  if (view_->trace_one_in != 0 && in.hash % view_->trace_one_in == 0) {
    option.parent_span = NewSpanId(in.hash, now);
    sink_.RecordHop({in.hash, option.parent_span, in.ParentSpan(), "ingress",
                     "to-owner", in.key, now});
  }
  sink_.SendToBalancer(route.owner, option, in.bytes);
}

void traffic_core::HandleUpstreamPacket(inbound_packet& in, time_point now) {
  in.hash = StableHash(in.key);
  const bool ends_flow = in.packet.proto == protocol::kTcp &&
                         (in.packet.Has(kFin) || in.packet.Has(kRst));
  if (in.HasUpstreamAffinity()) {
    if (ends_flow) {
      upstream_cache_.Remove(in.hash);
    } else {
      upstream_cache_.Put(in.hash, in.packet.source.address, MsSinceStart(now));
    }
  }
  const bool is_served_here = view_->pools[in.pool].role != pool_role::kNone;
  auto slot = owner_.flows().Find(in.key);
  const bool opening_was_passed_on =
      slot && owner_.flows().At(*slot).phase == flow_phase::kPassedOn;
  if (opening_was_passed_on && !is_served_here) slot.reset();
  if (!slot && in.WasForwardedAs(forward_kind::kToPreviousOwner)) {
    ReturnUnlessDuplicate(in);
  } else if (slot || is_served_here) {
    owner_.HandleUpstreamPacket(in, slot, now);
  } else if (view_->pools[in.pool].reachable) {
    ForwardToOwner(in, forward_kind::kUpstreamToOwner, 0, now);
  } else {
    ForwardResponseWithoutOwner(in, ends_flow);
  }
}

// Handles a packet from an upstream whose pool has no reachable owner: forwards
// it to the caller. The owner may be alive nevertheless. It therefore receives
// packets that end a flow as well, and it alone forwards responses to
// idempotent requests, since the caller must not combine parts of the responses
// to two executions.
void traffic_core::ForwardResponseWithoutOwner(inbound_packet& in,
                                               bool ends_flow) {
  const pool_route& route = view_->pools[in.pool];
  const bool must_notify_owner = ends_flow || in.IsOfIdempotentRequest();
  if (must_notify_owner && route.owner.port != 0 && in.Hops() < kMaxHops) {
    const auto hops = static_cast<uint8_t>(in.Hops() + 1);
    sink_.SendToBalancer(
        route.owner,
        {forward_kind::kUpstreamToOwner, hops, route.tag, 0, in.ParentSpan()},
        in.bytes);
  }
  if (in.IsOfIdempotentRequest()) return;
  RewriteSource(in.bytes, in.key.service);
  sink_.SendToFabric(in.bytes, in.hash);
}

// Returns a packet to the new owner of a pool, because this balancer, its
// previous owner, has no record of the flow either. A duplicate of a
// non-idempotent request that was placed here is dropped.
void traffic_core::ReturnUnlessDuplicate(inbound_packet& in) {
  if (owner_.IsDuplicate(in)) {
    ++counters_.duplicates;
    return;
  }
  ReturnToSender(in);
}

void traffic_core::ReturnToSender(inbound_packet& in) {
  const uint32_t known_upstream = in.ReportedUpstream() != 0
                                      ? in.ReportedUpstream()
                                      : upstream_cache_.Get(in.hash);
  sink_.SendToBalancer(
      in.sender,
      {forward_kind::kFromPreviousOwner, static_cast<uint8_t>(in.Hops() + 1),
       in.forward->pool, known_upstream, in.ParentSpan()},
      in.bytes);
}

void traffic_core::ReplyToUpstreamLookup(inbound_packet& in) {
  uint32_t upstream = upstream_cache_.Get(in.hash);
  const auto slot = owner_.flows().Find(in.key);
  if (slot && owner_.flows().At(*slot).phase != flow_phase::kClosed)
    upstream = owner_.flows().At(*slot).upstream;
  if (upstream == 0) return;
  ++counters_.witness_answered;
  sink_.SendToBalancer(in.sender,
                       {forward_kind::kUpstreamLookupReply, in.Hops(),
                        in.forward->pool, upstream, in.ParentSpan()},
                       in.bytes);
}

void traffic_core::ApplyUpstreamLookupReply(inbound_packet& in,
                                            time_point now) {
  const uint32_t upstream = in.ReportedUpstream();
  const auto pool = FindPoolOfUpstream(in, upstream);
  if (!pool) return;
  upstream_cache_.Put(in.hash, upstream, MsSinceStart(now));
  in.pool = *pool;
  if (view_->pools[*pool].role != pool_role::kNone) {
    owner_.AdoptFlowAndForward(in, upstream, now);
  } else {
    ForwardToOwner(in, forward_kind::kCallerToOwner, upstream, now);
  }
}

void traffic_core::SendUpstreamLookups(inbound_packet& in, time_point now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - lookup_tokens_refilled_at_).count();
  lookup_tokens_refilled_at_ = now;
  lookup_tokens_ =
      std::min(kUpstreamLookupBurst,
               lookup_tokens_ + elapsed_s * kUpstreamLookupsPerSecond);
  if (lookup_tokens_ < 1 || in.Hops() >= kMaxHops) return;
  lookup_tokens_ -= 1;
  ++counters_.witness_asked;
  const forward_option option{forward_kind::kUpstreamLookup,
                              static_cast<uint8_t>(in.Hops() + 1),
                              view_->pools[in.pool].tag, 0, in.ParentSpan()};
  for (const endpoint& peer : view_->lookup_peers)
    sink_.SendToBalancer(peer, option, in.bytes);
}

}  // namespace radishyard
