// Parsing and in-place rewriting of IPv4 packets, over the system's header
// definitions.
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
constexpr uint16_t kFragmentMask = 0x3fff;  // "More fragments" and the offset.

template <typename Header>
Header ReadHeader(byte_span bytes, size_t at) {
  Header header;
  std::memcpy(&header, bytes.data() + at, sizeof(Header));
  return header;
}

std::optional<packet_view> Fail(failure& why, const char* text) {
  why = {failure_kind::kInvalid, text};
  return std::nullopt;
}

size_t HeaderBytes(byte_span ip) {
  return static_cast<size_t>(ip[0] & 0x0f) * 4;
}

uint32_t SumWords(byte_span bytes, uint32_t sum) {
  size_t i = 0;
  for (; i + 1 < bytes.size(); i += 2)
    sum += static_cast<uint32_t>(bytes[i]) << 8 | bytes[i + 1];
  if (i < bytes.size()) sum += static_cast<uint32_t>(bytes[i]) << 8;
  return sum;
}

uint16_t Fold(uint32_t sum) {
  while (sum >> 16 != 0) sum = (sum & 0xffff) + (sum >> 16);
  return static_cast<uint16_t>(sum);
}

uint16_t Read16(byte_span bytes, size_t at) {
  return static_cast<uint16_t>(bytes[at] << 8 | bytes[at + 1]);
}

void Write16(std::span<uint8_t> bytes, size_t at, uint16_t value) {
  bytes[at] = static_cast<uint8_t>(value >> 8);
  bytes[at + 1] = static_cast<uint8_t>(value);
}

void Write32(std::span<uint8_t> bytes, size_t at, uint32_t value) {
  Write16(bytes, at, static_cast<uint16_t>(value >> 16));
  Write16(bytes, at + 2, static_cast<uint16_t>(value));
}

// RFC 1624: the new checksum is ~(~old + ~old_word + new_word) for each changed
// word.
uint16_t Mend(uint16_t checksum, uint32_t old_value, uint32_t new_value) {
  uint32_t sum = static_cast<uint16_t>(~checksum);
  sum += static_cast<uint16_t>(~(old_value >> 16)) +
         static_cast<uint16_t>(~old_value);
  sum += (new_value >> 16) + (new_value & 0xffff);
  return static_cast<uint16_t>(~Fold(sum));
}

size_t ChecksumOffset(byte_span ip) {
  const size_t transport = HeaderBytes(ip);
  const bool is_tcp = ip[offsetof(iphdr, protocol)] == IPPROTO_TCP;
  return transport +
         (is_tcp ? offsetof(tcphdr, check) : offsetof(udphdr, check));
}

void MendAt(std::span<uint8_t> ip, size_t at, uint32_t old_value,
            uint32_t new_value) {
  Write16(ip, at, Mend(Read16(ip, at), old_value, new_value));
}

void Rewrite(std::span<uint8_t> ip, size_t address_at, size_t port_at,
             const endpoint& to) {
  const uint32_t old_address = static_cast<uint32_t>(Read16(ip, address_at))
                                   << 16 |
                               Read16(ip, address_at + 2);
  const uint16_t old_port = Read16(ip, port_at);
  const size_t checksum_at = ChecksumOffset(ip);
  const bool is_udp = ip[offsetof(iphdr, protocol)] == IPPROTO_UDP;
  MendAt(ip, offsetof(iphdr, check), old_address, to.address);
  if (!is_udp ||
      Read16(ip, checksum_at) != 0) {  // A UDP checksum of 0 means "none".
    MendAt(ip, checksum_at, old_address, to.address);
    MendAt(ip, checksum_at, old_port, to.port);
    if (is_udp && Read16(ip, checksum_at) == 0)
      Write16(ip, checksum_at, 0xffff);
  }
  Write32(ip, address_at, to.address);
  Write16(ip, port_at, to.port);
}

bool ReadTransport(byte_span ip, size_t at, packet_view& view) {
  if (view.proto == protocol::kUdp) {
    if (ip.size() < at + sizeof(udphdr)) return false;
    const auto udp = ReadHeader<udphdr>(ip, at);
    if (ntohs(udp.len) != ip.size() - at) return false;
    view.source.port = ntohs(udp.source);
    view.destination.port = ntohs(udp.dest);
    view.payload = ip.subspan(at + sizeof(udphdr));
    return true;
  }
  if (ip.size() < at + sizeof(tcphdr)) return false;
  const auto tcp = ReadHeader<tcphdr>(ip, at);
  const size_t header = static_cast<size_t>(tcp.doff) * 4;
  if (header < sizeof(tcphdr) || ip.size() < at + header) return false;
  view.source.port = ntohs(tcp.source);
  view.destination.port = ntohs(tcp.dest);
  view.flags = ip[at + 13] & 0x3f;
  view.seq = ntohl(tcp.seq);
  view.ack = ntohl(tcp.ack_seq);
  view.payload = ip.subspan(at + header);
  return true;
}

void WriteIpHeader(std::span<uint8_t> ip, uint8_t number, uint32_t from,
                   uint32_t to, uint16_t id) {
  ip[0] = 0x45;
  Write16(ip, 2, static_cast<uint16_t>(ip.size()));
  Write16(ip, 4, id);
  ip[8] = kTimeToLive;
  ip[9] = number;
  Write32(ip, 12, from);
  Write32(ip, 16, to);
  Write16(ip, 10,
          static_cast<uint16_t>(~Fold(SumWords(ip.first(kIpHeaderBytes), 0))));
}

void WriteTransportChecksum(std::span<uint8_t> ip) {
  const byte_span transport = byte_span(ip).subspan(kIpHeaderBytes);
  uint32_t sum = ip[9] + static_cast<uint32_t>(transport.size());
  sum = SumWords(byte_span(ip).subspan(12, 8), sum);
  const auto checksum = static_cast<uint16_t>(~Fold(SumWords(transport, sum)));
  Write16(ip, ChecksumOffset(ip), checksum == 0 ? 0xffff : checksum);
}

}  // namespace

std::optional<packet_view> ParsePacket(byte_span ip, failure& why) {
  if (ip.size() < kIpHeaderBytes)
    return Fail(why, "shorter than an IPv4 header");
  const auto header = ReadHeader<iphdr>(ip, 0);
  const size_t header_bytes = HeaderBytes(ip);
  if (header.version != 4 || header_bytes < kIpHeaderBytes)
    return Fail(why, "not IPv4");
  if (ntohs(header.tot_len) != ip.size() || ip.size() < header_bytes)
    return Fail(why, "wrong IP length");
  if ((ntohs(header.frag_off) & kFragmentMask) != 0)
    return Fail(why, "fragment");
  if (header.protocol != IPPROTO_TCP && header.protocol != IPPROTO_UDP)
    return Fail(why, "neither TCP nor UDP");
  packet_view view;
  view.proto = static_cast<protocol>(header.protocol);
  view.source.address = ntohl(header.saddr);
  view.destination.address = ntohl(header.daddr);
  view.ip_id = ntohs(header.id);
  if (!ReadTransport(ip, header_bytes, view))
    return Fail(why, "truncated transport header");
  return view;
}

void RewriteDestination(std::span<uint8_t> ip, const endpoint& to) {
  Rewrite(ip, offsetof(iphdr, daddr), HeaderBytes(ip) + 2, to);
}

void RewriteSource(std::span<uint8_t> ip, const endpoint& from) {
  Rewrite(ip, offsetof(iphdr, saddr), HeaderBytes(ip), from);
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
  const size_t quoted =
      std::min(request_ip.size(), HeaderBytes(request_ip) + sizeof(udphdr));
  byte_buffer bytes(kIpHeaderBytes + sizeof(icmphdr) + quoted);
  const std::span<uint8_t> ip(bytes);
  const auto header = ReadHeader<iphdr>(request_ip, 0);
  WriteIpHeader(ip, IPPROTO_ICMP, ntohl(header.daddr), ntohl(header.saddr), 0);
  const std::span<uint8_t> icmp = ip.subspan(kIpHeaderBytes);
  icmp[0] = ICMP_DEST_UNREACH;
  icmp[1] = ICMP_PORT_UNREACH;
  std::copy_n(request_ip.begin(), quoted, icmp.begin() + sizeof(icmphdr));
  Write16(icmp, 2, static_cast<uint16_t>(~Fold(SumWords(icmp, 0))));
  return bytes;
}

std::optional<flow_key> ParsePortUnreachable(byte_span ip) {
  constexpr size_t kQuoteAt = kIpHeaderBytes + sizeof(icmphdr);
  if (ip.size() < kQuoteAt + kIpHeaderBytes + sizeof(udphdr))
    return std::nullopt;
  if (ip[0] != 0x45 || ip[9] != IPPROTO_ICMP ||
      ip[kIpHeaderBytes] != ICMP_DEST_UNREACH)
    return std::nullopt;
  const byte_span quote = ip.subspan(kQuoteAt);
  const size_t header = HeaderBytes(quote);
  if (quote[9] != IPPROTO_UDP || quote.size() < header + sizeof(udphdr))
    return std::nullopt;
  flow_key key;
  key.proto = protocol::kUdp;
  key.caller = {
      static_cast<uint32_t>(Read16(quote, 12)) << 16 | Read16(quote, 14),
      Read16(quote, header)};
  key.service = {
      static_cast<uint32_t>(Read16(quote, 16)) << 16 | Read16(quote, 18),
      Read16(quote, header + 2)};
  return key;
}

}  // namespace radishyard
