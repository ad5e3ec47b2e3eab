// Geneve (RFC 8926) encapsulation of the packets exchanged with the fabric and
// between balancers. Packets between balancers carry one radishyard-specific
// option.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>

#include "packet/packet.h"

namespace radishyard {

/// \brief Why a balancer forwards a packet to another balancer, and what the
/// receiver must do with it. The values are sent on the wire.
enum class forward_kind : uint8_t {
  kCallerToOwner = 1,  ///< A caller's packet, sent to the owner of its pool.
  kUpstreamToOwner,    ///< An upstream's packet, sent to the owner of its pool.
  kToPreviousOwner,    ///< The new owner of a pool has no record of the flow
                       ///< and sends the packet to the previous owner.
  kFromPreviousOwner,  ///< The previous owner sends the packet to the new
                       ///< owner, which must handle it itself. `upstream` is
                       ///< set if the upstream of the flow is known.
  kUpstreamLookup,     ///< The owner has no record of the flow; the receiver
                       ///< replies if it has recorded the flow's upstream.
  kUpstreamLookupReply,  ///< Returns the packet of an upstream lookup with the
                         ///< upstream that the sender has recorded.
  kPassedOpening,        ///< An opening that waits in the queue of one pool is
                         ///< passed to a pool that has free slots.
};

/// \brief The Geneve option of a packet between balancers. Its encoded data is
/// 16 bytes long.
struct forward_option {
  forward_kind kind = forward_kind::kCallerToOwner;
  uint8_t hops = 0;   ///< Forwarding steps between balancers so far; at most
                      ///< kMaxHops.
  uint16_t pool = 0;  ///< Tag of the pool: identifies it among the pools of
                      ///< the service. \sa pool_route::tag
  uint32_t upstream = 0;  ///< Address of the upstream that serves the flow
                          ///< according to the sender; 0 if unknown.
  uint64_t parent_span =
      0;  ///< Span of the previous hop for a traced flow; 0 if not traced.
  auto operator<=>(const forward_option&) const = default;
};

/// \brief Forwarding steps after which a packet is dropped, so that it cannot
/// circulate between balancers.
constexpr uint8_t kMaxHops = 6;

/// \brief A decoded Geneve datagram. `inner` refers to the bytes of the
/// datagram and is valid as long as they are.
struct geneve_frame {
  uint32_t vni = 0;  ///< Virtual network identifier, 24 bits.
  std::optional<forward_option> forward;  ///< Present if a balancer sent it.
  byte_span inner;                        ///< The IPv4 packet.
};

constexpr size_t kGeneveBaseBytes = 8;
constexpr size_t kForwardOptionBytes = 4 + 16;
constexpr size_t kMaxGeneveHeaderBytes = kGeneveBaseBytes + kForwardOptionBytes;

/// \brief Decodes a Geneve datagram. Unknown options are skipped, unless they
/// are marked critical.
///
/// \returns nothing if the datagram is malformed; `why` then holds the reason.
std::optional<geneve_frame> DecodeGeneve(byte_span datagram, failure& why);

/// \brief Writes the Geneve header of `frame` with its option, but without the
/// inner packet.
/// \returns the number of bytes written, at most kMaxGeneveHeaderBytes.
size_t EncodeGeneveHeader(const geneve_frame& frame,
                          std::span<uint8_t, kMaxGeneveHeaderBytes> out);

/// \brief Encodes the whole datagram: the Geneve header and the inner packet.
byte_buffer EncodeGeneve(const geneve_frame& frame);

}  // namespace radishyard
