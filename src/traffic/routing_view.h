// The routing view: an immutable snapshot of the table, the rosters and the
// liveness of the balancers. The control thread publishes it, and the traffic
// threads route packets by it.
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

/// \brief Computes the index of the traffic thread that serves a pool. The
/// result is the same on every balancer with this number of threads.
size_t ThreadIndex(const pool_name& name, size_t threads);

/// \brief Role of this balancer for a pool.
enum class pool_role : uint8_t {
  kNone,        ///< Forwards packets of the pool to its owner.
  kOwner,       ///< Owner of the pool according to the roster.
  kSubstitute,  ///< Substitutes for an owner that is not reachable: places TCP
                ///< openings and idempotent requests only, since non-idempotent
                ///< ones need the lease of the owner.
};

/// \brief A pool from the point of view of this balancer.
struct pool_route {
  pool_name name;
  std::shared_ptr<const service> table;  ///< The service with its upstreams.
  uint16_t tag = 0;  ///< Low bits of the hash of the domain's name; identifies
                     ///< the pool among those of its service on every balancer.
  uint64_t weight =
      0;  ///< Sum of the weights of its upstreams that take new flows.
  uint64_t epoch = 0;  ///< Epoch in which the owner was assigned.
  pool_role role = pool_role::kNone;
  bool reachable = false;  ///< A balancer that serves the pool is alive.
  /// The failure domain is evacuated: openings are passed to other pools.
  bool evacuated = false;
  /// No balancer of the pool's domain is alive; one of another domain serves
  /// the pool.
  bool substituted = false;
  /// Data endpoint of the balancer that serves the pool. If none is reachable,
  /// that of the owner according to the roster. Port 0 if there is none.
  endpoint owner;
  /// Data endpoint of the previous owner, which has the records of the flows,
  /// while these have not been handed over yet.
  std::optional<endpoint> previous_owner;
};

/// \brief A port of a service and the pools that serve it.
struct port_route {
  service_port port;
  std::vector<uint16_t> pools;  ///< Indices into routing_view::pools.
};

/// \brief Route of the packets from an upstream's endpoint: its pool and the
/// port of the service that it serves.
struct upstream_route {
  uint16_t pool = 0;
  endpoint service;  ///< Endpoint to which the callers send.
  service_port port;
};

/// \brief An endpoint with its protocol: the key of routing_view::ports and
/// routing_view::upstreams.
struct port_key {
  protocol proto = protocol::kTcp;
  endpoint at;
  auto operator<=>(const port_key&) const = default;
  template <typename H>
  friend H AbslHashValue(H h, const port_key& k) {
    return H::combine(std::move(h), k.proto, k.at);
  }
};

/// \brief The whole view.
/// Invariant: every pool index in it is below pools.size().
struct routing_view {
  std::vector<pool_route> pools;
  absl::flat_hash_map<port_key, port_route> ports;  ///< By service endpoint.
  absl::flat_hash_map<port_key, upstream_route>
      upstreams;  ///< By upstream endpoint.
  std::vector<endpoint>
      fabric;  ///< Fabric entries; one is chosen by the flow's hash.
  absl::flat_hash_set<endpoint>
      balancers;  ///< Data endpoints of all balancers. Forwarded packets are
                  ///< accepted only from these.
  std::vector<endpoint>
      lookup_peers;           ///< Balancers that receive upstream lookups.
  uint32_t trace_one_in = 0;  ///< One in this many flows is traced; 0: none.
};

/// \brief Chooses the pool of a new flow by weighted rendezvous hashing over
/// the reachable pools that are not evacuated. If all are evacuated, over all
/// that are reachable: the owner of the pool then refuses the opening, because
/// it knows whether a copy has been placed already.
///
/// \returns the index into routing_view::pools; nothing if no pool is
/// reachable.
std::optional<uint16_t> PickPool(const routing_view& view,
                                 const port_route& route, uint64_t flow_hash);

/// \brief As PickPool(), but regardless of evacuations: the pool that is chosen
/// while no domain is evacuated. Its owner may have a record of the flow. An
/// evacuated pool is left out if no balancer of its own domain is alive.
std::optional<uint16_t> PickPoolBeforeEvacuation(const routing_view& view,
                                                 const port_route& route,
                                                 uint64_t flow_hash);

}  // namespace radishyard
