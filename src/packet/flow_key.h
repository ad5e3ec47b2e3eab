// Flow keys: the protocol, caller endpoint and service endpoint that identify a
// flow, with their text forms and a stable hash.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace radishyard {

/// \brief Transport protocols that the balancer supports. The values are IP
/// protocol numbers.
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

/// \brief Formats an endpoint as "address:port", such as "10.0.0.1:80".
std::string ToString(const endpoint& e);

/// \brief Parses a dotted IPv4 address.
/// \param[out] address in host byte order; unchanged on failure.
/// \returns false if `text` is not a dotted IPv4 address.
bool ParseAddress(const std::string& text, uint32_t& address);

/// \brief Formats an address in host byte order as dotted decimal text.
std::string ToDottedAddress(uint32_t address);

/// \brief The five-tuple of a flow as its caller sees it: the destination is
/// the service, not the upstream.
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

/// \brief Hashes a flow key. The result is the same on every balancer and in
/// every release, so balancers can use it to agree on choices for a flow.
uint64_t StableHash(const flow_key& key);

/// \brief Formats a flow key, such as "tcp 10.0.0.1:4000 > 10.20.0.1:80".
std::string ToString(const flow_key& key);

}  // namespace radishyard
