// The platform's packets, as its pages describe them: a header of 32 bytes,
// little-endian, and data. Used by the callers and upstreams of the cases.
#pragma once
#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <vector>

namespace review {

constexpr size_t kHeaderBytes = 32;
constexpr uint8_t kSyn = 1;
constexpr uint8_t kAck = 64;
constexpr uint8_t kFin = 32;
constexpr uint8_t kRst = 128;

/// \brief One packet. `sum` is any number but 0: its key is not disclosed.
struct packet {
  uint32_t sum = 1;
  uint32_t echo = 0;
  uint8_t flags = 0;
  uint32_t source = 0;
  uint16_t source_port = 0;
  uint16_t destination_port = 0;
  uint32_t destination = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  std::vector<uint8_t> data;
};

template <typename T>
void Put(std::vector<uint8_t>& bytes, T value) {
  std::array<uint8_t, sizeof(T)> raw{};
  std::memcpy(raw.data(), &value, sizeof value);
  bytes.insert(bytes.end(), raw.begin(), raw.end());
}

inline std::vector<uint8_t> Encode(const packet& p) {
  std::vector<uint8_t> bytes;
  Put(bytes, p.sum);
  Put(bytes, p.echo);
  Put(bytes, p.flags);
  Put(bytes, uint8_t{0});
  Put(bytes, p.source);
  Put(bytes, p.source_port);
  Put(bytes, p.destination_port);
  Put(bytes, p.destination);
  Put(bytes, p.sequence);
  Put(bytes, p.acknowledged);
  Put(bytes, static_cast<uint16_t>(p.data.size()));
  bytes.insert(bytes.end(), p.data.begin(), p.data.end());
  return bytes;
}

template <typename T>
T Take(std::span<const uint8_t> bytes, size_t offset) {
  T value{};
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

/// \returns nothing if the length differs from the one in the header.
inline std::optional<packet> Decode(std::span<const uint8_t> bytes) {
  constexpr size_t kLengthOffset = 30;
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  if (bytes.size() != kHeaderBytes + Take<uint16_t>(bytes, kLengthOffset))
    return std::nullopt;
  packet p;
  p.sum = Take<uint32_t>(bytes, 0);
  p.echo = Take<uint32_t>(bytes, 4);
  p.flags = bytes[8];
  p.source = Take<uint32_t>(bytes, 10);
  p.source_port = Take<uint16_t>(bytes, 14);
  p.destination_port = Take<uint16_t>(bytes, 16);
  p.destination = Take<uint32_t>(bytes, 18);
  p.sequence = Take<uint32_t>(bytes, 22);
  p.acknowledged = Take<uint32_t>(bytes, 26);
  p.data.assign(bytes.begin() + kHeaderBytes, bytes.end());
  return p;
}

}  // namespace review
