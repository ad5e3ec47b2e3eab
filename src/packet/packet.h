// Parsing, building and in-place rewriting of IPv4 packets that carry TCP or
// UDP, and the packets that reject a flow (RST, ICMP port unreachable).
#pragma once
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/failure.h"
#include "packet/flow_key.h"

namespace radishyard {

using byte_span = std::span<const uint8_t>;
using byte_buffer = std::vector<uint8_t>;

/// \brief TCP flag bits as encoded in the header.
enum tcp_flag : uint8_t {
  kFin = 0x01,
  kSyn = 0x02,
  kRst = 0x04,
  kPsh = 0x08,
  kAck = 0x10
};

/// \brief Parsed header fields of a packet and a view of its payload.
/// Invariant: `payload` lies inside the span that was parsed, and is valid as
/// long as that span.
struct packet_view {
  endpoint source;
  endpoint destination;
  protocol proto = protocol::kTcp;
  uint8_t flags = 0;   ///< TCP flags; 0 for UDP.
  uint32_t seq = 0;    ///< TCP sequence number.
  uint32_t ack = 0;    ///< TCP acknowledgement number.
  uint16_t ip_id = 0;  ///< Identification field of the IP header.
  byte_span payload;

  bool Has(tcp_flag flag) const { return (flags & flag) != 0; }
  /// \brief True for the first packet of a TCP connection: SYN without ACK.
  bool IsSyn() const { return Has(kSyn) && !Has(kAck); }
};

/// \brief Parses an IPv4 packet and checks its lengths. Checksums are not
/// verified, since the end points do so.
/// \returns nothing for a truncated or fragmented packet, or one that is
/// neither TCP nor UDP over IPv4; `why` then holds the reason.
std::optional<packet_view> ParsePacket(byte_span ip, failure& why);

/// \brief Replaces the destination in place and updates the checksums
/// incrementally. \warning The packet must have passed ParsePacket().
void RewriteDestination(std::span<uint8_t> ip, const endpoint& to);

/// \brief Replaces the source in place. \sa RewriteDestination()
void RewriteSource(std::span<uint8_t> ip, const endpoint& from);

/// \brief Fields of a packet to build.
struct packet_fields {
  endpoint source;
  endpoint destination;
  protocol proto = protocol::kUdp;
  uint8_t flags = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint16_t ip_id = 0;
  byte_span payload;
};

/// \brief Builds an IPv4 packet with valid checksums.
///
/// \code
/// byte_buffer syn = BuildPacket({.source = caller, .destination = service,
///                                .proto = protocol::kTcp, .flags = kSyn, .seq
///                                = 1});
/// \endcode
byte_buffer BuildPacket(const packet_fields& fields);

/// \brief Builds the RST that rejects `syn`. Its source is the destination of
/// `syn`.
byte_buffer BuildReset(const packet_view& syn);

/// \brief Builds the ICMP "port unreachable" message that rejects a UDP
/// request. It quotes the IP and UDP headers of the request, and its source is
/// the destination of the request.
///
/// \warning The request must have passed ParsePacket().
byte_buffer BuildPortUnreachable(byte_span request_ip);

/// \brief Reads the flow of the UDP request that an ICMP "destination
/// unreachable" message quotes.
/// \returns nothing if `ip` is not such a message or quotes no UDP packet.
std::optional<flow_key> ParsePortUnreachable(byte_span ip);

}  // namespace radishyard
