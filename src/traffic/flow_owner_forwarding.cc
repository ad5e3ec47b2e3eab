// Implements the part of flow_owner that sends packets on: to upstreams, to
// pools that openings were passed to, and to previous and new owners.
#include "traffic/flow_owner.h"

namespace radishyard {

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

void flow_owner::TraceHop(const inbound_packet& in, const char* name,
                          const char* result, time_point now) {
  if (view_->trace_one_in == 0 || in.hash % view_->trace_one_in != 0) return;
  sink_.RecordHop({in.hash, NewSpanId(in.hash, now), in.ParentSpan(), name,
                   result, in.key, now});
}

}  // namespace radishyard
