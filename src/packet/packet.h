// IPv4 packets with TCP or UDP inside: parsing, address rewriting and the
// answers of a refusal.
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

/// \brief TCP flag bits as they stand in the header.
enum tcp_flag : uint8_t {
  kFin = 0x01,
  kSyn = 0x02,
  kRst = 0x04,
  kPsh = 0x08,
  kAck = 0x10
};

/// \brief What the decisions read from a packet. Views into the packet's bytes.
/// Invariant: `payload` lies inside the span that was parsed.
struct packet_view {
  endpoint source;
  endpoint destination;
  protocol proto = protocol::kTcp;
  uint8_t flags = 0;  ///< TCP flags; 0 for UDP.
  uint32_t seq = 0;   ///< TCP sequence number.
  uint32_t ack = 0;   ///< TCP acknowledgement number.
  uint16_t ip_id = 0;
  byte_span payload;

  bool Has(tcp_flag flag) const { return (flags & flag) != 0; }
  /// \brief True for the first packet of a TCP connection: SYN without ACK.
  bool IsSyn() const { return Has(kSyn) && !Has(kAck); }
};

/// \brief Parses an IPv4 packet and checks its lengths. Checksums are left to
/// the end points. \returns nothing for a truncated, fragmented or foreign
/// packet; `why` then tells the reason.
std::optional<packet_view> ParsePacket(byte_span ip, failure& why);

/// \brief Replaces the destination in place and mends the checksums
/// incrementally. \warning The packet must have passed ParsePacket().
void RewriteDestination(std::span<uint8_t> ip, const endpoint& to);

/// \brief Replaces the source in place. \sa RewriteDestination()
void RewriteSource(std::span<uint8_t> ip, const endpoint& from);

/// \brief Fields of a packet to build; tests and refusals use it.
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

/// \brief The RST that refuses `syn`, as its destination would send it.
byte_buffer BuildReset(const packet_view& syn);

/// \brief The ICMP "port unreachable" message that refuses a UDP request. It
/// quotes the request's IP and UDP headers, and comes from the request's
/// destination.
byte_buffer BuildPortUnreachable(byte_span request_ip);

/// \brief The flow of a quoted UDP request, where `ip` is an ICMP "port
/// unreachable" message.
std::optional<flow_key> ParsePortUnreachable(byte_span ip);

}  // namespace radishyard
