// The rows of the table that operators edit: services with their ports and
// upstreams, as plain values.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief What a flow to a port occupies at its upstream.
enum class port_kind : uint8_t {
  kFeed,     ///< A long-lived flow; occupies a connection only.
  kRequest,  ///< One request per flow (TCP) or per datagram (UDP); occupies a
             ///< connection and a slot.
};

/// \brief Order in which queued openings are assigned to upstreams.
enum class priority_class : uint8_t { kUrgent, kNormal, kBulk };

/// \brief One port of a service.
struct service_port {
  uint16_t port = 0;           ///< Port at the address of the service.
  uint16_t upstream_port = 0;  ///< Port at the upstreams; the same as `port` if
                               ///< the table does not set it.
  protocol proto = protocol::kTcp;
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  /// If false, a UDP request to this port must be executed at most once.
  bool idempotent = true;
  uint32_t idle_timeout_s = 300;  ///< A flow without packets for this time, in
                                  ///< seconds, has ended.
  auto operator<=>(const service_port&) const = default;
};

/// \brief Administrative state of an upstream, set by an operator.
enum class upstream_state : uint8_t {
  kActive,
  kJoining,  ///< Receives new flows at a gradually increasing rate.
  kLeaving,  ///< Keeps its flows and receives no new ones.
};

/// \brief An upstream of a service, with its weight and limits.
struct upstream {
  std::string name;
  uint32_t address = 0;
  std::string domain;  ///< Failure domain.
  uint32_t weight = 0;
  uint32_t slots = 0;        ///< Maximum number of requests in progress.
  uint32_t connections = 0;  ///< Maximum number of open flows.
  upstream_state state = upstream_state::kActive;
  auto operator<=>(const upstream&) const = default;
};

/// \brief A service: an address, its ports and its upstreams.
/// Invariant: no two services share a combination of protocol, upstream address
/// and upstream port.
struct service {
  std::string name;
  uint32_t address = 0;
  std::vector<service_port> ports;
  std::vector<upstream> upstreams;
  bool deleted = false;  ///< The record of a deleted service is kept, so that
                         ///< its version keeps increasing.
  auto operator<=>(const service&) const = default;
};

/// \brief A service in its stored form, with the version of the stored object.
struct service_record {
  service value;
  /// Version of the object in the store; increases with each accepted edit.
  uint64_t version = 0;
  /// Identifies the edit that wrote this version. An editor that received no
  /// reply finds out by it whether its edit took effect.
  std::string edit_id;
  auto operator<=>(const service_record&) const = default;
};

}  // namespace radishyard
