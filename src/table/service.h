// The operators' table: services, their ports and their upstreams, as immutable
// values.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief What a flow of a port holds at its upstream.
enum class port_kind : uint8_t {
  kFeed,     ///< A long-lived flow; holds a connection only.
  kRequest,  ///< One request per flow (TCP) or per datagram (UDP); holds a
             ///< connection and a slot.
};

/// \brief Order in which waiting openings are placed.
enum class priority_class : uint8_t { kUrgent, kNormal, kBulk };

/// \brief One port of a service.
struct service_port {
  uint16_t port = 0;           ///< Port at the service's address.
  uint16_t upstream_port = 0;  ///< Port at the upstreams; the same as `port`
                               ///< unless the table says otherwise.
  protocol proto = protocol::kTcp;
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  bool idempotent =
      true;  ///< False: a UDP request of this port must run at most once.
  uint32_t idle_timeout_s =
      300;  ///< A flow without packets for so long has ended.
  auto operator<=>(const service_port&) const = default;
};

/// \brief Life cycle of an upstream as its operator marks it.
enum class upstream_state : uint8_t {
  kActive,
  kJoining,  ///< Gets new flows at a rate that ramps up.
  kLeaving,  ///< Keeps its flows, gets no new ones.
};

/// \brief One row of the table: an upstream with its weight and limits.
struct upstream {
  std::string name;
  uint32_t address = 0;
  std::string domain;  ///< Failure domain.
  uint32_t weight = 0;
  uint32_t slots = 0;        ///< Most requests in progress at once.
  uint32_t connections = 0;  ///< Most open flows at once.
  upstream_state state = upstream_state::kActive;
  auto operator<=>(const upstream&) const = default;
};

/// \brief A service: one address, some ports, some upstreams.
/// Invariant: (protocol, upstream address, upstream port) belongs to one
/// service only.
struct service {
  std::string name;
  uint32_t address = 0;
  std::vector<service_port> ports;
  std::vector<upstream> upstreams;
  bool deleted = false;  ///< A deleted service stays as a record, so that its
                         ///< version keeps rising.
  auto operator<=>(const service&) const = default;
};

/// \brief A service as the platform's store holds it.
struct service_record {
  service value;
  uint64_t version =
      0;  ///< Version of the store's object; rises with each accepted edit.
  std::string edit_id;  ///< Names the edit that wrote this version, so that a
                        ///< lost answer can be settled.
  auto operator<=>(const service_record&) const = default;
};

}  // namespace radishyard
