// A received packet with the flow, port and pool that it was matched to.
#pragma once
#include <optional>

#include "packet/geneve.h"
#include "packet/packet.h"
#include "traffic/routing_view.h"

namespace radishyard {

/// \brief A received packet. Its bytes may be rewritten in place.
struct inbound_packet {
  packet_view packet;
  std::span<uint8_t> bytes;
  endpoint sender;  ///< The fabric entry or balancer that sent the datagram.
  std::optional<forward_option> forward;  ///< Present if a balancer sent it.
  flow_key key;
  uint64_t hash = 0;  ///< StableHash(key).
  service_port port;  ///< Port of the service that the flow belongs to.
  uint16_t pool = 0;  ///< Index into routing_view::pools.

  bool WasForwardedAs(forward_kind kind) const {
    return forward && forward->kind == kind;
  }
  uint8_t Hops() const { return forward ? forward->hops : 0; }
  /// \brief Address of the flow's upstream according to the balancer that sent
  /// the packet; 0 if unknown.
  uint32_t ReportedUpstream() const { return forward ? forward->upstream : 0; }
  /// \brief Span of the previous hop of a traced flow; 0 if there is none.
  uint64_t ParentSpan() const { return forward ? forward->parent_span : 0; }
  /// \brief True if the packet may open a flow: a SYN or any datagram.
  bool IsOpening() const {
    return packet.proto == protocol::kUdp || packet.IsSyn();
  }
  /// \brief True for a datagram of a request that must be executed at most
  /// once. A request over TCP is protected by TCP itself.
  bool IsOfNonIdempotentRequest() const {
    return packet.proto == protocol::kUdp && !port.idempotent;
  }
  /// \brief True for a datagram of a request that its caller may retransmit
  /// until it has received a whole response. The retransmission may reach
  /// another upstream.
  bool IsOfIdempotentRequest() const {
    return packet.proto == protocol::kUdp && port.kind == port_kind::kRequest &&
           port.idempotent;
  }
  /// \brief True for a datagram whose pool must not depend on evacuations: a
  /// packet of a feed looks like an opening, and a non-idempotent request must
  /// reach the balancer that knows whether a copy was placed already.
  bool MustKeepItsPool() const {
    return packet.proto == protocol::kUdp && !IsOfIdempotentRequest();
  }
  /// \brief True if later packets of the flow must go to the same upstream, so
  /// that the upstream is worth recording from return traffic.
  bool HasUpstreamAffinity() const {
    return packet.proto == protocol::kTcp || port.kind == port_kind::kFeed;
  }
};

}  // namespace radishyard
