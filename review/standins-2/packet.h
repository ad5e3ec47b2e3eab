// Packets between callers, balancers and servers, as the stand-ins of this
// folder send and receive them. Independent of the product's own codec.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace review {

inline constexpr uint8_t kSyn = 1;
inline constexpr uint8_t kFin = 32;
inline constexpr uint8_t kAck = 64;
inline constexpr uint8_t kRst = 128;

/// \brief An address and a port, in host byte order.
struct address {
  uint32_t ip = 0;
  uint16_t port = 0;
  auto operator<=>(const address&) const = default;
};

/// \brief One packet. `sum` is 0 only in a reset that a balancer has made.
struct packet {
  uint32_t sum = 0;
  uint32_t echo = 0;
  uint8_t flags = 0;
  address from;
  address to;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  std::string data;
};

/// \brief The keyed sum over all fields but `echo`; never 0.
uint32_t ComputeSum(const packet& p);

/// \brief Encodes a packet; `sum` is computed.
std::string Encode(const packet& p);

/// \brief Decodes a packet. \returns nothing for a malformed one.
std::optional<packet> Decode(std::string_view bytes);

/// \brief Text such as "127.0.0.1:80".
std::string ToText(const address& a);

}  // namespace review
