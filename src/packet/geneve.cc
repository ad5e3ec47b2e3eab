// Encoding and decoding of the Geneve header and its options. All fields are in
// network byte order.
#include "packet/geneve.h"

#include <algorithm>
#include <array>

namespace radishyard {
namespace {

constexpr uint16_t kEtherTypeIpv4 = 0x0800;
constexpr uint16_t kOptionClass =
    0xff52;  // In the experimental range of RFC 8926.
constexpr uint8_t kForwardOptionType = 0x01;
constexpr uint8_t kCriticalBit = 0x80;
constexpr size_t kOptionHeaderBytes = 4;
constexpr size_t kForwardDataBytes = 16;

template <typename T>
T ReadBigEndian(byte_span bytes, size_t offset) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>(value << 8 | bytes[offset + i]);
  return value;
}

template <typename T>
void WriteBigEndian(std::span<uint8_t> bytes, size_t offset, T value) {
  for (size_t i = sizeof(T); i-- > 0; value = static_cast<T>(value >> 7 >> 1)) {
    bytes[offset + i] = static_cast<uint8_t>(value);
  }
}

std::optional<geneve_frame> Fail(failure& why, const char* text) {
  why = {failure_kind::kInvalid, text};
  return std::nullopt;
}

bool IsForwardKind(uint8_t value) {
  return value >= static_cast<uint8_t>(forward_kind::kCallerToOwner) &&
         value <= static_cast<uint8_t>(forward_kind::kPassedOpening);
}

std::optional<forward_option> ParseForwardOption(byte_span data) {
  if (data.size() != kForwardDataBytes || !IsForwardKind(data[0]))
    return std::nullopt;
  forward_option option;
  option.kind = static_cast<forward_kind>(data[0]);
  option.hops = data[1];
  option.pool = ReadBigEndian<uint16_t>(data, 2);
  option.upstream = ReadBigEndian<uint32_t>(data, 4);
  option.parent_span = ReadBigEndian<uint64_t>(data, 8);
  return option;
}

bool ParseOptions(byte_span options, geneve_frame& frame) {
  while (!options.empty()) {
    if (options.size() < kOptionHeaderBytes) return false;
    const size_t data_bytes = static_cast<size_t>(options[3] & 0x1f) * 4;
    if (options.size() < kOptionHeaderBytes + data_bytes) return false;
    const bool is_forward_option =
        ReadBigEndian<uint16_t>(options, 0) == kOptionClass &&
        options[2] == kForwardOptionType;
    if (is_forward_option) {
      frame.forward =
          ParseForwardOption(options.subspan(kOptionHeaderBytes, data_bytes));
      if (!frame.forward) return false;
    } else if ((options[2] & kCriticalBit) != 0) {
      return false;
    }
    options = options.subspan(kOptionHeaderBytes + data_bytes);
  }
  return true;
}

}  // namespace

std::optional<geneve_frame> DecodeGeneve(byte_span datagram, failure& why) {
  if (datagram.size() < kGeneveBaseBytes)
    return Fail(why, "datagram is shorter than a Geneve header");
  if (datagram[0] >> 6 != 0) return Fail(why, "unsupported Geneve version");
  if (ReadBigEndian<uint16_t>(datagram, 2) != kEtherTypeIpv4)
    return Fail(why, "inner packet is not IPv4");
  const size_t option_bytes = static_cast<size_t>(datagram[0] & 0x3f) * 4;
  if (datagram.size() < kGeneveBaseBytes + option_bytes)
    return Fail(why, "truncated Geneve options");
  geneve_frame frame;
  frame.vni = ReadBigEndian<uint32_t>(datagram, 4) >> 8;
  if (!ParseOptions(datagram.subspan(kGeneveBaseBytes, option_bytes), frame)) {
    return Fail(why, "malformed or critical Geneve option");
  }
  frame.inner = datagram.subspan(kGeneveBaseBytes + option_bytes);
  return frame;
}

size_t EncodeGeneveHeader(const geneve_frame& frame,
                          std::span<uint8_t, kMaxGeneveHeaderBytes> out) {
  std::fill(out.begin(), out.end(), uint8_t{0});
  const size_t option_bytes = frame.forward ? kForwardOptionBytes : 0;
  out[0] = static_cast<uint8_t>(option_bytes / 4);
  WriteBigEndian<uint16_t>(out, 2, kEtherTypeIpv4);
  WriteBigEndian<uint32_t>(out, 4, frame.vni << 8);
  if (frame.forward) {
    const std::span<uint8_t> option = out.subspan(kGeneveBaseBytes);
    WriteBigEndian<uint16_t>(option, 0, kOptionClass);
    option[2] = kForwardOptionType;
    option[3] = kForwardDataBytes / 4;
    const std::span<uint8_t> data = option.subspan(kOptionHeaderBytes);
    data[0] = static_cast<uint8_t>(frame.forward->kind);
    data[1] = frame.forward->hops;
    WriteBigEndian<uint16_t>(data, 2, frame.forward->pool);
    WriteBigEndian<uint32_t>(data, 4, frame.forward->upstream);
    WriteBigEndian<uint64_t>(data, 8, frame.forward->parent_span);
  }
  return kGeneveBaseBytes + option_bytes;
}

byte_buffer EncodeGeneve(const geneve_frame& frame) {
  std::array<uint8_t, kMaxGeneveHeaderBytes> header{};
  const size_t bytes = EncodeGeneveHeader(frame, header);
  byte_buffer datagram(header.begin(), header.begin() + bytes);
  datagram.insert(datagram.end(), frame.inner.begin(), frame.inner.end());
  return datagram;
}

}  // namespace radishyard
