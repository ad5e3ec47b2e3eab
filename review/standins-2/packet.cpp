// Encodes and decodes the 32-byte head, whose numbers are little-endian.
#include "packet.h"

#include <cstring>

namespace review {
namespace {

constexpr size_t kHeadBytes = 32;
constexpr uint64_t kSumKey = 0x9A5C31E7D2B40F68;
constexpr uint64_t kFnvPrime = 1099511628211U;

template <typename T>
void Append(std::string& bytes, T value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <typename T>
T Load(std::string_view bytes, size_t offset) {
  T value;
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

}  // namespace

uint32_t ComputeSum(const packet& p) {
  std::string text;
  Append(text, p.flags);
  Append(text, p.from.ip);
  Append(text, p.from.port);
  Append(text, p.to.ip);
  Append(text, p.to.port);
  Append(text, p.sequence);
  Append(text, p.acknowledged);
  text += p.data;
  uint64_t hash = kSumKey;
  for (const char c : text) hash = (hash ^ static_cast<uint8_t>(c)) * kFnvPrime;
  const auto sum = static_cast<uint32_t>(hash >> 32);
  return sum == 0 ? 1 : sum;
}

std::string Encode(const packet& p) {
  std::string bytes;
  Append(bytes, ComputeSum(p));
  Append(bytes, p.echo);
  Append(bytes, p.flags);
  Append(bytes, uint8_t{0});
  Append(bytes, p.from.ip);
  Append(bytes, p.from.port);
  Append(bytes, p.to.port);
  Append(bytes, p.to.ip);
  Append(bytes, p.sequence);
  Append(bytes, p.acknowledged);
  Append(bytes, static_cast<uint16_t>(p.data.size()));
  return bytes + p.data;
}

std::optional<packet> Decode(std::string_view bytes) {
  if (bytes.size() < kHeadBytes) return std::nullopt;
  packet p;
  p.sum = Load<uint32_t>(bytes, 0);
  p.echo = Load<uint32_t>(bytes, 4);
  p.flags = Load<uint8_t>(bytes, 8);
  p.from = {Load<uint32_t>(bytes, 10), Load<uint16_t>(bytes, 14)};
  p.to = {Load<uint32_t>(bytes, 18), Load<uint16_t>(bytes, 16)};
  p.sequence = Load<uint32_t>(bytes, 22);
  p.acknowledged = Load<uint32_t>(bytes, 26);
  if (bytes.size() != kHeadBytes + Load<uint16_t>(bytes, 30))
    return std::nullopt;
  p.data = bytes.substr(kHeadBytes);
  return p;
}

std::string ToText(const address& a) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8)
    text += std::to_string(a.ip >> shift & 255) + (shift > 0 ? "." : ":");
  return text + std::to_string(a.port);
}

}  // namespace review
