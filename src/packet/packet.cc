// Parsing, building and in-place rewriting of IPv4 packets, based on the header
// definitions of the system.
#include "packet/packet.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <algorithm>
#include <cstddef>
#include <cstring>

namespace radishyard {
namespace {

constexpr size_t kIpHeaderBytes = sizeof(iphdr);
constexpr uint8_t kTimeToLive = 64;
// The "more fragments" flag and the fragment offset.
constexpr uint16_t kFragmentMask = 0x3fff;

template <typename Header>
Header ReadHeader(byte_span bytes, size_t offset) {
  Header header;
  std::memcpy(&header, bytes.data() + offset, sizeof(Header));
  return header;
}

std::optional<packet_view> Fail(failure& why, const char* text) {
  why = {failure_kind::kInvalid, text};
  return std::nullopt;
}

size_t IpHeaderBytes(byte_span ip) {
  return static_cast<size_t>(ip[0] & 0x0f) * 4;
}

uint32_t SumWords(byte_span bytes, uint32_t sum) {
  size_t i = 0;
  for (; i + 1 < bytes.size(); i += 2)
    sum += static_cast<uint32_t>(bytes[i]) << 8 | bytes[i + 1];
  if (i < bytes.size()) sum += static_cast<uint32_t>(bytes[i]) << 8;
  return sum;
}

uint16_t FoldCarries(uint32_t sum) {
  while (sum >> 16 != 0) sum = (sum & 0xffff) + (sum >> 16);
  return static_cast<uint16_t>(sum);
}

uint16_t Read16(byte_span bytes, size_t offset) {
  return static_cast<uint16_t>(bytes[offset] << 8 | bytes[offset + 1]);
}

void Write16(std::span<uint8_t> bytes, size_t offset, uint16_t value) {
  bytes[offset] = static_cast<uint8_t>(value >> 8);
  bytes[offset + 1] = static_cast<uint8_t>(value);
}

void Write32(std::span<uint8_t> bytes, size_t offset, uint32_t value) {
  Write16(bytes, offset, static_cast<uint16_t>(value >> 16));
  Write16(bytes, offset + 2, static_cast<uint16_t>(value));
}

// Updates a checksum for a changed 32-bit value, or a 16-bit value in the low
// bits. RFC 1624: the new checksum is ~(~old + ~old_word + new_word) for each
// changed word.
uint16_t UpdateChecksum(uint16_t checksum, uint32_t old_value,
                        uint32_t new_value) {
  uint32_t sum = static_cast<uint16_t>(~checksum);
  sum += static_cast<uint16_t>(~(old_value >> 16)) +
         static_cast<uint16_t>(~old_value);
  sum += (new_value >> 16) + (new_value & 0xffff);
  return static_cast<uint16_t>(~FoldCarries(sum));
}

size_t ChecksumOffset(byte_span ip) {
  const size_t transport = IpHeaderBytes(ip);
  const bool is_tcp = ip[offsetof(iphdr, protocol)] == IPPROTO_TCP;
  return transport +
         (is_tcp ? offsetof(tcphdr, check) : offsetof(udphdr, check));
}

void UpdateChecksumAt(std::span<uint8_t> ip, size_t offset, uint32_t old_value,
                      uint32_t new_value) {
  Write16(ip, offset, UpdateChecksum(Read16(ip, offset), old_value, new_value));
}

void RewriteEndpoint(std::span<uint8_t> ip, size_t address_offset,
                     size_t port_offset, const endpoint& to) {
  const uint32_t old_address = static_cast<uint32_t>(Read16(ip, address_offset))
                                   << 16 |
                               Read16(ip, address_offset + 2);
  const uint16_t old_port = Read16(ip, port_offset);
  const size_t checksum_offset = ChecksumOffset(ip);
  const bool is_udp = ip[offsetof(iphdr, protocol)] == IPPROTO_UDP;
  UpdateChecksumAt(ip, offsetof(iphdr, check), old_address, to.address);
  if (!is_udp ||
      Read16(ip, checksum_offset) != 0) {  // 0 means no UDP checksum.
    UpdateChecksumAt(ip, checksum_offset, old_address, to.address);
    UpdateChecksumAt(ip, checksum_offset, old_port, to.port);
    // A computed UDP checksum of 0 is sent as 0xffff (RFC 768).
    if (is_udp && Read16(ip, checksum_offset) == 0)
      Write16(ip, checksum_offset, 0xffff);
  }
  Write32(ip, address_offset, to.address);
  Write16(ip, port_offset, to.port);
}

bool ParseTransport(byte_span ip, size_t offset, packet_view& view) {
  if (view.proto == protocol::kUdp) {
    if (ip.size() < offset + sizeof(udphdr)) return false;
    const auto udp = ReadHeader<udphdr>(ip, offset);
    if (ntohs(udp.len) != ip.size() - offset) return false;
    view.source.port = ntohs(udp.source);
    view.destination.port = ntohs(udp.dest);
    view.payload = ip.subspan(offset + sizeof(udphdr));
    return true;
  }
  if (ip.size() < offset + sizeof(tcphdr)) return false;
  const auto tcp = ReadHeader<tcphdr>(ip, offset);
  const size_t header = static_cast<size_t>(tcp.doff) * 4;
  if (header < sizeof(tcphdr) || ip.size() < offset + header) return false;
  view.source.port = ntohs(tcp.source);
  view.destination.port = ntohs(tcp.dest);
  view.flags = ip[offset + 13] & 0x3f;
  view.seq = ntohl(tcp.seq);
  view.ack = ntohl(tcp.ack_seq);
  view.payload = ip.subspan(offset + header);
  return true;
}

void WriteIpHeader(std::span<uint8_t> ip, uint8_t protocol_number,
                   uint32_t from, uint32_t to, uint16_t id) {
  ip[0] = 0x45;
  Write16(ip, 2, static_cast<uint16_t>(ip.size()));
  Write16(ip, 4, id);
  ip[8] = kTimeToLive;
  ip[9] = protocol_number;
  Write32(ip, 12, from);
  Write32(ip, 16, to);
  Write16(ip, 10,
          static_cast<uint16_t>(
              ~FoldCarries(SumWords(ip.first(kIpHeaderBytes), 0))));
}

void WriteTransportChecksum(std::span<uint8_t> ip) {
  const byte_span transport = byte_span(ip).subspan(kIpHeaderBytes);
  uint32_t sum = ip[9] + static_cast<uint32_t>(transport.size());
  sum = SumWords(byte_span(ip).subspan(12, 8), sum);
  const auto checksum =
      static_cast<uint16_t>(~FoldCarries(SumWords(transport, sum)));
  Write16(ip, ChecksumOffset(ip), checksum == 0 ? 0xffff : checksum);
}

}  // namespace

std::optional<packet_view> ParsePacket(byte_span ip, failure& why) {
  if (ip.size() < kIpHeaderBytes)
    return Fail(why, "packet is shorter than an IPv4 header");
  const auto header = ReadHeader<iphdr>(ip, 0);
  const size_t header_bytes = IpHeaderBytes(ip);
  if (header.version != 4 || header_bytes < kIpHeaderBytes)
    return Fail(why, "not an IPv4 packet");
  if (ntohs(header.tot_len) != ip.size() || ip.size() < header_bytes)
    return Fail(why, "IP total length does not match the packet size");
  if ((ntohs(header.frag_off) & kFragmentMask) != 0)
    return Fail(why, "IPv4 fragment");
  if (header.protocol != IPPROTO_TCP && header.protocol != IPPROTO_UDP)
    return Fail(why, "transport protocol is neither TCP nor UDP");
  packet_view view;
  view.proto = static_cast<protocol>(header.protocol);
  view.source.address = ntohl(header.saddr);
  view.destination.address = ntohl(header.daddr);
  view.ip_id = ntohs(header.id);
  if (!ParseTransport(ip, header_bytes, view))
    return Fail(why, "truncated or malformed transport header");
  return view;
}

void RewriteDestination(std::span<uint8_t> ip, const endpoint& to) {
  RewriteEndpoint(ip, offsetof(iphdr, daddr), IpHeaderBytes(ip) + 2, to);
}

void RewriteSource(std::span<uint8_t> ip, const endpoint& from) {
  RewriteEndpoint(ip, offsetof(iphdr, saddr), IpHeaderBytes(ip), from);
}

byte_buffer BuildPacket(const packet_fields& fields) {
  const bool is_tcp = fields.proto == protocol::kTcp;
  const size_t header = is_tcp ? sizeof(tcphdr) : sizeof(udphdr);
  byte_buffer bytes(kIpHeaderBytes + header + fields.payload.size());
  const std::span<uint8_t> ip(bytes);
  WriteIpHeader(ip, static_cast<uint8_t>(fields.proto), fields.source.address,
                fields.destination.address, fields.ip_id);
  const std::span<uint8_t> transport = ip.subspan(kIpHeaderBytes);
  Write16(transport, 0, fields.source.port);
  Write16(transport, 2, fields.destination.port);
  if (is_tcp) {
    Write32(transport, 4, fields.seq);
    Write32(transport, 8, fields.ack);
    transport[12] = sizeof(tcphdr) / 4 << 4;
    transport[13] = fields.flags;
    Write16(transport, 14, 0xffff);  // Window, in bytes.
  } else {
    Write16(transport, 4, static_cast<uint16_t>(transport.size()));
  }
  std::copy(fields.payload.begin(), fields.payload.end(),
            transport.begin() + header);
  WriteTransportChecksum(ip);
  return bytes;
}

byte_buffer BuildReset(const packet_view& syn) {
  return BuildPacket(
      {.source = syn.destination,
       .destination = syn.source,
       .proto = protocol::kTcp,
       .flags = kRst | kAck,
       .ack = syn.seq + 1 + static_cast<uint32_t>(syn.payload.size())});
}

byte_buffer BuildPortUnreachable(byte_span request_ip) {
  const size_t quoted_bytes =
      std::min(request_ip.size(), IpHeaderBytes(request_ip) + sizeof(udphdr));
  byte_buffer bytes(kIpHeaderBytes + sizeof(icmphdr) + quoted_bytes);
  const std::span<uint8_t> ip(bytes);
  const auto header = ReadHeader<iphdr>(request_ip, 0);
  WriteIpHeader(ip, IPPROTO_ICMP, ntohl(header.daddr), ntohl(header.saddr), 0);
  const std::span<uint8_t> icmp = ip.subspan(kIpHeaderBytes);
  icmp[0] = ICMP_DEST_UNREACH;
  icmp[1] = ICMP_PORT_UNREACH;
  std::copy_n(request_ip.begin(), quoted_bytes, icmp.begin() + sizeof(icmphdr));
  Write16(icmp, 2, static_cast<uint16_t>(~FoldCarries(SumWords(icmp, 0))));
  return bytes;
}

std::optional<flow_key> ParsePortUnreachable(byte_span ip) {
  constexpr size_t kQuoteOffset = kIpHeaderBytes + sizeof(icmphdr);
  if (ip.size() < kQuoteOffset + kIpHeaderBytes + sizeof(udphdr))
    return std::nullopt;
  if (ip[0] != 0x45 || ip[9] != IPPROTO_ICMP ||
      ip[kIpHeaderBytes] != ICMP_DEST_UNREACH)
    return std::nullopt;
  const byte_span quoted_packet = ip.subspan(kQuoteOffset);
  const size_t header = IpHeaderBytes(quoted_packet);
  if (quoted_packet[9] != IPPROTO_UDP ||
      quoted_packet.size() < header + sizeof(udphdr))
    return std::nullopt;
  flow_key key;
  key.proto = protocol::kUdp;
  key.caller = {static_cast<uint32_t>(Read16(quoted_packet, 12)) << 16 |
                    Read16(quoted_packet, 14),
                Read16(quoted_packet, header)};
  key.service = {static_cast<uint32_t>(Read16(quoted_packet, 16)) << 16 |
                     Read16(quoted_packet, 18),
                 Read16(quoted_packet, header + 2)};
  return key;
}

}  // namespace radishyard
