// Geneve header and option layout, in network byte order.
#include "packet/geneve.h"

#include <algorithm>
#include <array>

namespace radishyard {
namespace {

constexpr uint16_t kEtherTypeIpv4 = 0x0800;
constexpr uint16_t kOptionClass =
    0xff52;  // From the experimental range of RFC 8926.
constexpr uint8_t kForwardType = 0x01;
constexpr uint8_t kCriticalBit = 0x80;
constexpr size_t kOptionHeaderBytes = 4;
constexpr size_t kForwardDataBytes = 16;

template <typename T>
T ReadBig(byte_span bytes, size_t at) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>(value << 8 | bytes[at + i]);
  return value;
}

template <typename T>
void WriteBig(std::span<uint8_t> bytes, size_t at, T value) {
  for (size_t i = sizeof(T); i-- > 0; value = static_cast<T>(value >> 7 >> 1)) {
    bytes[at + i] = static_cast<uint8_t>(value);
  }
}

std::optional<geneve_frame> Fail(failure& why, const char* text) {
  why = {failure_kind::kInvalid, text};
  return std::nullopt;
}

bool IsForwardKind(uint8_t value) {
  return value >= static_cast<uint8_t>(forward_kind::kToOwner) &&
         value <= static_cast<uint8_t>(forward_kind::kPassedOpening);
}

std::optional<forward_option> ReadForward(byte_span data) {
  if (data.size() != kForwardDataBytes || !IsForwardKind(data[0]))
    return std::nullopt;
  forward_option option;
  option.kind = static_cast<forward_kind>(data[0]);
  option.hops = data[1];
  option.pool = ReadBig<uint16_t>(data, 2);
  option.upstream = ReadBig<uint32_t>(data, 4);
  option.parent_span = ReadBig<uint64_t>(data, 8);
  return option;
}

bool ReadOptions(byte_span options, geneve_frame& frame) {
  while (!options.empty()) {
    if (options.size() < kOptionHeaderBytes) return false;
    const size_t data_bytes = static_cast<size_t>(options[3] & 0x1f) * 4;
    if (options.size() < kOptionHeaderBytes + data_bytes) return false;
    const bool is_ours = ReadBig<uint16_t>(options, 0) == kOptionClass &&
                         options[2] == kForwardType;
    if (is_ours) {
      frame.forward =
          ReadForward(options.subspan(kOptionHeaderBytes, data_bytes));
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
    return Fail(why, "shorter than a Geneve header");
  if (datagram[0] >> 6 != 0) return Fail(why, "unknown Geneve version");
  if (ReadBig<uint16_t>(datagram, 2) != kEtherTypeIpv4)
    return Fail(why, "inner packet is not IPv4");
  const size_t option_bytes = static_cast<size_t>(datagram[0] & 0x3f) * 4;
  if (datagram.size() < kGeneveBaseBytes + option_bytes)
    return Fail(why, "truncated Geneve options");
  geneve_frame frame;
  frame.vni = ReadBig<uint32_t>(datagram, 4) >> 8;
  if (!ReadOptions(datagram.subspan(kGeneveBaseBytes, option_bytes), frame)) {
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
  WriteBig<uint16_t>(out, 2, kEtherTypeIpv4);
  WriteBig<uint32_t>(out, 4, frame.vni << 8);
  if (frame.forward) {
    const std::span<uint8_t> option = out.subspan(kGeneveBaseBytes);
    WriteBig<uint16_t>(option, 0, kOptionClass);
    option[2] = kForwardType;
    option[3] = kForwardDataBytes / 4;
    const std::span<uint8_t> data = option.subspan(kOptionHeaderBytes);
    data[0] = static_cast<uint8_t>(frame.forward->kind);
    data[1] = frame.forward->hops;
    WriteBig<uint16_t>(data, 2, frame.forward->pool);
    WriteBig<uint32_t>(data, 4, frame.forward->upstream);
    WriteBig<uint64_t>(data, 8, frame.forward->parent_span);
  }
  return kGeneveBaseBytes + option_bytes;
}

byte_buffer EncodeGeneve(const geneve_frame& frame) {
  std::array<uint8_t, kMaxGeneveHeaderBytes> envelope{};
  const size_t bytes = EncodeGeneveHeader(frame, envelope);
  byte_buffer datagram(envelope.begin(), envelope.begin() + bytes);
  datagram.insert(datagram.end(), frame.inner.begin(), frame.inner.end());
  return datagram;
}

}  // namespace radishyard
