// Text conversion and stable hashing of flow keys.
#include "packet/flow_key.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <array>
#include <cstring>

namespace radishyard {

std::string ToDottedAddress(uint32_t address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  const in_addr network_address{htonl(address)};
  inet_ntop(AF_INET, &network_address, text.data(), text.size());
  return text.data();
}

bool ParseAddress(const std::string& text, uint32_t& address) {
  in_addr network_address{};
  if (inet_pton(AF_INET, text.c_str(), &network_address) != 1) return false;
  address = ntohl(network_address.s_addr);
  return true;
}

std::string ToString(const endpoint& e) {
  return ToDottedAddress(e.address) + ":" + std::to_string(e.port);
}

std::string ToString(const flow_key& key) {
  const char* protocol_prefix = key.proto == protocol::kTcp ? "tcp " : "udp ";
  return protocol_prefix + ToString(key.caller) + " > " + ToString(key.service);
}

uint64_t StableHash(const flow_key& key) {
  std::array<uint8_t, 13> bytes{};
  std::memcpy(&bytes[0], &key.caller.address, 4);
  std::memcpy(&bytes[4], &key.service.address, 4);
  std::memcpy(&bytes[8], &key.caller.port, 2);
  std::memcpy(&bytes[10], &key.service.port, 2);
  bytes[12] = static_cast<uint8_t>(key.proto);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace radishyard
