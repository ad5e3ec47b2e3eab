// Ingress decisions, and the packets that balancers exchange about a flow.
#include "traffic/traffic_core.h"

#include <algorithm>

namespace radishyard {
namespace {

constexpr double kWitnessQuestionsPerSecond = 2000;
constexpr double kWitnessBurst = 2000;
constexpr size_t kMostWithheld = 1000;
constexpr duration kRetryWithheldEvery = 50ms;
constexpr duration kLongestWithheld = 1s;

}  // namespace

traffic_core::traffic_core(traffic_sink& sink, size_t witness_entries,
                           time_point start, owner_timing timing)
    : sink_(sink),
      witnesses_(witness_entries),
      start_(start),
      view_(std::make_shared<routing_view>()),
      owner_(sink, counters_, witnesses_, start, timing),
      witness_tokens_(kWitnessBurst),
      witness_refill_(start) {}

void traffic_core::SetView(std::shared_ptr<const routing_view> view,
                           time_point now) {
  view_ = view;
  owner_.SetView(std::move(view), now);
}

void traffic_core::TakeWitnesses(const flow_batch& batch, time_point now) {
  for (const flow_entry& entry : batch.flows)
    witnesses_.Put(entry.key, entry.upstream, Ms(now));
}

bool traffic_core::Trusts(const endpoint& from,
                          const geneve_frame& frame) const {
  if (frame.forward) return view_->balancers.contains(from);
  return std::ranges::find(view_->fabric, from) != view_->fabric.end();
}

void traffic_core::Receive(std::span<uint8_t> datagram, const endpoint& from,
                           time_point now) {
  ++counters_.packets;
  datagram_ = datagram;
  sender_ = from;
  failure why;
  const auto frame = DecodeGeneve(datagram, why);
  const auto packet = frame ? ParsePacket(frame->inner, why) : std::nullopt;
  if (!packet) {
    ++counters_.malformed;
    return;
  }
  if (!Trusts(from, *frame)) {
    ++counters_.untrusted;
    return;
  }
  inbound in;
  in.packet = *packet;
  in.bytes = datagram.last(frame->inner.size());
  in.from = from;
  in.forward = frame->forward;
  const auto port = view_->ports.find({packet->proto, packet->destination});
  if (port != view_->ports.end()) {
    FromCaller(in, port->second, now);
    return;
  }
  const auto up = view_->upstreams.find({packet->proto, packet->source});
  if (up == view_->upstreams.end()) {
    ++counters_.no_service;
    return;
  }
  in.key = {packet->destination, up->second.service, packet->proto};
  in.port = up->second.port;
  in.pool = up->second.pool;
  FromUpstream(in, now);
}

void traffic_core::FromCaller(inbound& in, const port_route& route,
                              time_point now) {
  in.key = {in.packet.source, in.packet.destination, in.packet.proto};
  in.hash = StableHash(in.key);
  in.port = route.port;
  if (in.CameAs(forward_kind::kUpstreamLookup)) {
    AnswerWitness(in);
    return;
  }
  const auto slot = owner_.flows().Find(in.key);
  if (!ChoosePool(in, route, slot)) {
    ++counters_.no_pool;
    return;
  }
  if (in.CameAs(forward_kind::kUpstreamLookupReply)) {
    TakeWitness(in, now);
  } else if (slot && in.CameAs(forward_kind::kToPreviousOwner) &&
             owner_.HasPassedTo(*slot, in.forward->pool)) {
    SendBack(in);
  } else if (slot) {
    TakeOutcome(in, owner_.HandleCaller(in, slot, now), now);
  } else if (in.CameAs(forward_kind::kToPreviousOwner)) {
    Bounce(in);
  } else {
    ServeOrForward(in, now);
  }
}

// A packet that another balancer sent names its pool; the first balancer goes
// by what it saw of the flow, and by weighted rendezvous otherwise.
bool traffic_core::ChoosePool(inbound& in, const port_route& route,
                              std::optional<uint32_t> slot) {
  std::optional<uint16_t> pool;
  if (in.forward) pool = PoolByTag(route, in.forward->pool);
  if (!pool && !in.forward && in.IsWitnessed() && !in.packet.IsSyn()) {
    if (const uint32_t seen = SeenUpstream(in, slot))
      pool = PoolOfUpstream(in, seen);
  }
  if (!pool) pool = PickPool(*view_, route, in.hash);
  if (!pool) return false;
  in.pool = *pool;
  return true;
}

// The record of a flow that is open here spares the look into the cache.
uint32_t traffic_core::SeenUpstream(const inbound& in,
                                    std::optional<uint32_t> slot) const {
  if (slot) {
    const flow_record& flow = owner_.flows().At(*slot);
    if (flow.phase == flow_phase::kOpen) return flow.upstream;
  }
  return witnesses_.Get(in.hash);
}

std::optional<uint16_t> traffic_core::PoolByTag(const port_route& route,
                                                uint16_t tag) const {
  const auto found = std::ranges::find_if(
      route.pools,
      [this, tag](uint16_t index) { return view_->pools[index].tag == tag; });
  if (found == route.pools.end()) return std::nullopt;
  return *found;
}

std::optional<uint16_t> traffic_core::PoolOfUpstream(const inbound& in,
                                                     uint32_t upstream) const {
  const auto found =
      view_->upstreams.find({in.key.proto, {upstream, in.port.upstream_port}});
  if (found == view_->upstreams.end() ||
      found->second.service != in.key.service)
    return std::nullopt;
  return found->second.pool;
}

void traffic_core::ServeOrForward(inbound& in, time_point now) {
  const bool use_hint = in.IsWitnessed() && !in.packet.IsSyn();
  uint32_t hint = use_hint ? in.Hint() : 0;
  if (use_hint && hint == 0) hint = witnesses_.Get(in.hash);
  const pool_route& route = view_->pools[in.pool];
  if (route.role == pool_role::kNone) {
    ForwardToOwner(in,
                   in.CameAs(forward_kind::kPassedOpening)
                       ? forward_kind::kPassedOpening
                       : forward_kind::kCallerToOwner,
                   hint, now);
    return;
  }
  const auto hinted_pool = hint == 0 ? std::nullopt : PoolOfUpstream(in, hint);
  const bool is_ours =
      hinted_pool && view_->pools[*hinted_pool].role != pool_role::kNone;
  if (is_ours &&
<<<<<<< tree
      (!route.previous_owner || in.CameAs(forward_kind::kUnknownFlow))) {
=======
      (!route.previous || in.CameAs(forward_kind::kFromPreviousOwner))) {
>>>>>>> part 6dc6e22
    in.pool = *hinted_pool;
    owner_.AdoptAndForward(in, hint, now);
    return;
  }
  const flow_owner::outcome result = owner_.HandleCaller(in, std::nullopt, now);
  if (result == flow_owner::outcome::kUnknownFlow && hinted_pool && !is_ours) {
    in.pool = *hinted_pool;
    ForwardToOwner(in, forward_kind::kCallerToOwner, hint, now);
    return;
  }
  TakeOutcome(in, result, now);
}

void traffic_core::TakeOutcome(inbound& in, flow_owner::outcome result,
                               time_point now) {
  if (result == flow_owner::outcome::kUnknownFlow) AskWitnesses(in, now);
  if (result == flow_owner::outcome::kWithheld) Withhold(now);
}

void traffic_core::Withhold(time_point now) {
  if (withheld_.size() >= kMostWithheld) {
    ++counters_.unsafe_withheld;
    return;
  }
  withheld_.push_back({{datagram_.begin(), datagram_.end()},
                       sender_,
                       withheld_since_.value_or(now)});
}

// A new owner waits before it may place such requests, and an old one may have
// given the pool up meanwhile: each attempt takes the way that is right by
// then.
void traffic_core::RetryWithheld(time_point now) {
  if (withheld_.empty() || now < withheld_due_) return;
  withheld_due_ = now + kRetryWithheldEvery;
  std::vector<withheld_datagram> waiting = std::exchange(withheld_, {});
  for (withheld_datagram& datagram : waiting) {
    if (now - datagram.since > kLongestWithheld) {
      ++counters_.unsafe_withheld;
      continue;
    }
    withheld_since_ = datagram.since;
    Receive(datagram.bytes, datagram.from, now);
    withheld_since_.reset();
  }
}

void traffic_core::Tick(time_point now) {
  RetryWithheld(now);
  owner_.Tick(now);
}

void traffic_core::ForwardToOwner(inbound& in, forward_kind kind, uint32_t hint,
                                  time_point now) {
  const pool_route& route = view_->pools[in.pool];
  if (in.Hops() >= kMaxHops) {
    ++counters_.hop_limit;
    return;
  }
  if (!route.reachable) {
    ++counters_.no_pool;
    return;
  }
  ++counters_.forwarded;
  forward_option option{kind, static_cast<uint8_t>(in.Hops() + 1), route.tag,
                        hint, 0};
  if (view_->trace_one_in != 0 && in.hash % view_->trace_one_in == 0) {
    option.parent_span = NewSpan(in.hash, now);
    sink_.RecordHop({in.hash, option.parent_span, in.ParentSpan(), "ingress",
                     "to-owner", in.key, now});
  }
  sink_.SendToBalancer(route.owner, option, in.bytes);
}

void traffic_core::FromUpstream(inbound& in, time_point now) {
  in.hash = StableHash(in.key);
  const bool ends = in.packet.proto == protocol::kTcp &&
                    (in.packet.Has(kFin) || in.packet.Has(kRst));
  if (in.IsWitnessed()) {
    if (ends) {
      witnesses_.Remove(in.hash);
    } else {
      witnesses_.Put(in.hash, in.packet.source.address, Ms(now));
    }
  }
  const bool serves = view_->pools[in.pool].role != pool_role::kNone;
  auto slot = owner_.flows().Find(in.key);
  const bool was_passed =
      slot && owner_.flows().At(*slot).phase == flow_phase::kPassedOn;
  if (was_passed && !serves) slot.reset();
  if (!slot && in.CameAs(forward_kind::kToPreviousOwner)) {
    Bounce(in);
  } else if (slot || serves) {
    owner_.HandleUpstream(in, slot, now);
  } else if (view_->pools[in.pool].reachable) {
    ForwardToOwner(in, forward_kind::kUpstreamToOwner, 0, now);
  } else {
    PassAnswer(in, ends);
  }
}

// No balancer that serves the pool seems alive; the caller still gets its
// answer. The owner may live, so it is told of the end of a flow, and decides
// on answers that must not be joined from two runs.
void traffic_core::PassAnswer(inbound& in, bool ends) {
  const pool_route& route = view_->pools[in.pool];
  const bool is_told = ends || in.IsRepeatable();
  if (is_told && route.owner.port != 0 && in.Hops() < kMaxHops) {
    const auto hops = static_cast<uint8_t>(in.Hops() + 1);
    sink_.SendToBalancer(
        route.owner,
        {forward_kind::kUpstreamToOwner, hops, route.tag, 0, in.ParentSpan()},
        in.bytes);
  }
  if (in.IsRepeatable()) return;
  RewriteSource(in.bytes, in.key.service);
  sink_.SendToFabric(in.bytes, in.hash);
}

// The previous owner does not know the flow either; the new one goes on by
// itself.
void traffic_core::Bounce(inbound& in) {
  if (owner_.IsDuplicate(in)) {
    ++counters_.duplicates;
    return;
  }
  SendBack(in);
}

void traffic_core::SendBack(inbound& in) {
  const uint32_t hint = in.Hint() != 0 ? in.Hint() : witnesses_.Get(in.hash);
  sink_.SendToBalancer(
      in.from,
      {forward_kind::kFromPreviousOwner, static_cast<uint8_t>(in.Hops() + 1),
       in.forward->pool, hint, in.ParentSpan()},
      in.bytes);
}

void traffic_core::AnswerWitness(inbound& in) {
  uint32_t upstream = witnesses_.Get(in.hash);
  const auto slot = owner_.flows().Find(in.key);
  if (slot && owner_.flows().At(*slot).phase != flow_phase::kClosed)
    upstream = owner_.flows().At(*slot).upstream;
  if (upstream == 0) return;
  ++counters_.witness_answered;
  sink_.SendToBalancer(in.from,
                       {forward_kind::kUpstreamLookupReply, in.Hops(),
                        in.forward->pool, upstream, in.ParentSpan()},
                       in.bytes);
}

void traffic_core::TakeWitness(inbound& in, time_point now) {
  const uint32_t upstream = in.Hint();
  const auto pool = PoolOfUpstream(in, upstream);
  if (!pool) return;
  witnesses_.Put(in.hash, upstream, Ms(now));
  in.pool = *pool;
  if (view_->pools[*pool].role != pool_role::kNone) {
    owner_.AdoptAndForward(in, upstream, now);
  } else {
    ForwardToOwner(in, forward_kind::kCallerToOwner, upstream, now);
  }
}

void traffic_core::AskWitnesses(inbound& in, time_point now) {
  const double elapsed =
      std::chrono::duration<double>(now - witness_refill_).count();
  witness_refill_ = now;
  witness_tokens_ = std::min(
      kWitnessBurst, witness_tokens_ + elapsed * kWitnessQuestionsPerSecond);
  if (witness_tokens_ < 1 || in.Hops() >= kMaxHops) return;
  witness_tokens_ -= 1;
  ++counters_.witness_asked;
  const forward_option option{forward_kind::kUpstreamLookup,
                              static_cast<uint8_t>(in.Hops() + 1),
                              view_->pools[in.pool].tag, 0, in.ParentSpan()};
  for (const endpoint& witness : view_->lookup_peers)
    sink_.SendToBalancer(witness, option, in.bytes);
}

}  // namespace radishyard
