// Geneve (RFC 8926): the envelope of packets between the fabric and the
// balancers, and, with one option of radishyard's own, between balancers.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>

#include "packet/packet.h"

namespace radishyard {

/// \brief Why a balancer forwards a packet to another.
enum class forward_kind : uint8_t {
  kToOwner = 1,   ///< From a caller, towards the owner of a pool.
  kFromUpstream,  ///< From an upstream, towards the owner of its pool.
  kToPrevious,   ///< The new owner does not know the flow and asks the previous
                 ///< owner.
  kUnknownFlow,  ///< The previous owner does not know the flow either: place it
                 ///< if it may be placed.
  kToWitness,  ///< The owner does not know the flow; the receiver may have seen
               ///< its upstream.
  kWitnessed,  ///< A witness returns the packet with the upstream that it saw.
  kPassedOpening,  ///< An opening packet that waits is offered to a pool with
                   ///< room.
};

/// \brief The option that travels with a packet between balancers. Its data is
/// 16 bytes.
struct forward_option {
  forward_kind kind = forward_kind::kToOwner;
  uint8_t hops = 0;   ///< Balancers passed so far; at most kMaxHops.
  uint16_t pool = 0;  ///< Low bits of the hash of the pool's name; picks the
                      ///< traffic thread.
  uint32_t upstream = 0;  ///< Address of the upstream that the sender saw serve
                          ///< the flow; 0 if unknown.
  uint64_t parent_span =
      0;  ///< Span of the previous hop for a traced flow; 0 if not traced.
  auto operator<=>(const forward_option&) const = default;
};

constexpr uint8_t kMaxHops = 6;

/// \brief One decoded envelope; `inner` points into the datagram.
struct geneve_frame {
  uint32_t vni = 0;  ///< Virtual network identifier, 24 bits.
  std::optional<forward_option> forward;
  byte_span inner;  ///< The IPv4 packet.
};

constexpr size_t kGeneveBaseBytes = 8;
constexpr size_t kForwardOptionBytes = 4 + 16;
constexpr size_t kMaxGeneveHeaderBytes = kGeneveBaseBytes + kForwardOptionBytes;

/// \brief Decodes a datagram; unknown options are skipped unless they are
/// marked critical.
std::optional<geneve_frame> DecodeGeneve(byte_span datagram, failure& why);

/// \brief Writes the envelope of `frame` without the inner packet.
/// \returns the number of bytes written, at most kMaxGeneveHeaderBytes.
size_t EncodeGeneveHeader(const geneve_frame& frame,
                          std::span<uint8_t, kMaxGeneveHeaderBytes> out);

/// \brief The whole datagram: envelope and inner packet.
byte_buffer EncodeGeneve(const geneve_frame& frame);

}  // namespace radishyard
