// The identity of a flow: protocol, caller endpoint and service endpoint.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace radishyard {

/// \brief Transport protocols that are balanced, with their IP protocol
/// numbers.
enum class protocol : uint8_t { kTcp = 6, kUdp = 17 };

/// \brief An IPv4 address and port, both in host byte order.
struct endpoint {
  uint32_t address = 0;
  uint16_t port = 0;
  auto operator<=>(const endpoint&) const = default;
  template <typename H>
  friend H AbslHashValue(H h, const endpoint& e) {
    return H::combine(std::move(h), e.address, e.port);
  }
};

/// \brief Text form, such as "10.0.0.1:80".
std::string ToString(const endpoint& e);

/// \brief Parses a dotted IPv4 address; false where the text is none.
bool ParseAddress(const std::string& text, uint32_t& address);

/// \brief Dotted text form of an address in host byte order.
std::string ToDottedAddress(uint32_t address);

/// \brief The five-tuple of a flow as its caller sees it.
struct flow_key {
  endpoint caller;
  endpoint service;
  protocol proto = protocol::kTcp;
  auto operator<=>(const flow_key&) const = default;
  template <typename H>
  friend H AbslHashValue(H h, const flow_key& k) {
    return H::combine(std::move(h), k.caller, k.service, k.proto);
  }
};

/// \brief Hash of a flow that is the same on every balancer and in every
/// release.
uint64_t StableHash(const flow_key& key);

/// \brief Text form, such as "tcp 10.0.0.1:4000 > 10.20.0.1:80".
std::string ToString(const flow_key& key);

}  // namespace radishyard
