// A packet on its way through a balancer, with all that was found out about it.
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
  endpoint sender;  ///< Fabric entry or balancer that sent it.
  std::optional<forward_option> forward;  ///< Present if a balancer sent it.
  flow_key key;
  uint64_t hash = 0;  ///< StableHash(key).
  service_port port;
  uint16_t pool = 0;  ///< Index into the view's pools.

  bool WasForwardedAs(forward_kind kind) const {
    return forward && forward->kind == kind;
  }
  uint8_t Hops() const { return forward ? forward->hops : 0; }
  uint32_t ReportedUpstream() const { return forward ? forward->upstream : 0; }
  /// \brief Span of the hop before, of a traced flow; 0 if none.
  uint64_t ParentSpan() const { return forward ? forward->parent_span : 0; }
  /// \brief True for a packet that may begin a flow.
  bool IsOpening() const {
    return packet.proto == protocol::kUdp || packet.IsSyn();
  }
  /// \brief True for a request that must run at most once and that TCP does not
  /// protect.
  bool IsOfNonIdempotentRequest() const {
    return packet.proto == protocol::kUdp && !port.idempotent;
  }
  /// \brief True for a request that its caller sends again, maybe to another
  /// upstream, until it has the whole answer of one.
  bool IsOfIdempotentRequest() const {
    return packet.proto == protocol::kUdp && port.kind == port_kind::kRequest &&
           port.idempotent;
  }
  /// \brief True if return traffic names the flow's upstream for later packets.
  bool HasUpstreamAffinity() const {
    return packet.proto == protocol::kTcp || port.kind == port_kind::kFeed;
  }
};

}  // namespace radishyard
