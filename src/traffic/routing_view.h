// The routing view: all that a traffic thread knows of table, rosters and
// liveness, as one immutable value that the control thread publishes and the
// traffic threads read.
#pragma once
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"
#include "table/service.h"

namespace radishyard {

/// \brief A pool's name: service and failure domain.
struct pool_name {
  std::string service;
  std::string domain;
  auto operator<=>(const pool_name&) const = default;
};

/// \brief Index of the traffic thread that serves the pool, the same seen from
/// every balancer.
size_t ThreadIndex(const pool_name& name, size_t threads);

/// \brief What this balancer may do for a pool.
enum class pool_role : uint8_t {
  kNone,    ///< Sends its packets to the owner.
  kOwner,   ///< Named owner by the roster.
  kActing,  ///< Stands in for an owner that is not reachable: places TCP and
            ///< idempotent openings.
};

/// \brief A pool as seen from this balancer.
struct pool_route {
  pool_name name;
  std::shared_ptr<const service> table;  ///< Rows of the service.
  uint16_t tag = 0;  ///< Same on every balancer; picks the traffic thread.
  uint64_t weight =
      0;  ///< Sum of the weights of its upstreams that take new flows.
  uint64_t epoch = 0;  ///< Epoch that named the owner.
  pool_role role = pool_role::kNone;
  bool reachable = false;  ///< Some balancer that serves it is alive.
  /// Data endpoint of the one who serves it; while none is reachable, of the
  /// one whom the roster names. Port 0 if none.
  endpoint owner;
  std::optional<endpoint>
      previous_owner;  ///< Asks here for flows that were not handed over yet.
};

/// \brief A port of a service and the pools that serve it.
struct port_route {
  service_port port;
  std::vector<uint16_t> pools;  ///< Indices into routing_view::pools.
};

/// \brief An upstream's endpoint: its pool and the port of the service behind
/// which it stands.
struct upstream_route {
  uint16_t pool = 0;
  endpoint service;  ///< What the caller knows the upstream as.
  service_port port;
};

/// \brief Endpoint with its protocol, the key of both look-ups.
struct port_key {
  protocol proto = protocol::kTcp;
  endpoint at;
  auto operator<=>(const port_key&) const = default;
  template <typename H>
  friend H AbslHashValue(H h, const port_key& k) {
    return H::combine(std::move(h), k.proto, k.at);
  }
};

/// \brief The whole view. Invariant: every pool index in it is below
/// pools.size().
struct routing_view {
  std::vector<pool_route> pools;
  absl::flat_hash_map<port_key, port_route> ports;
  absl::flat_hash_map<port_key, upstream_route> upstreams;
  std::vector<endpoint> fabric;  ///< Where packets go; one is picked by flow.
  absl::flat_hash_set<endpoint>
      balancers;  ///< Data endpoints of the other balancers.
  std::vector<endpoint>
      lookup_peers;           ///< Balancers to ask about an unknown flow.
  uint32_t trace_one_in = 0;  ///< One flow in so many is traced; 0 for none.
};

/// \brief Index of the pool that a new flow of `route` goes to: weighted
/// rendezvous over the reachable pools. Nothing if none is reachable.
std::optional<uint16_t> PickPool(const routing_view& view,
                                 const port_route& route, uint64_t flow_hash);

}  // namespace radishyard
