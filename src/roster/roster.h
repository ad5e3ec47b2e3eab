// The roster of one failure domain: its balancers, and which of them owns which
// pool.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief One run of the daemon on one balancer. A restart gets a higher
/// incarnation.
struct member_id {
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const member_id&) const = default;
};

/// \brief A balancer as its domain's roster lists it.
struct member {
  member_id id;
  std::string domain;
  uint32_t size = 1;  ///< Relative capacity of the VM.
  endpoint data;      ///< First data port (UDP); thread i listens on port + i.
  uint16_t data_threads = 1;  ///< Number of traffic threads.
  endpoint control;           ///< Heartbeats and peer exchange (TCP).
  endpoint admin;             ///< Status and metrics pages (HTTP).
  bool leaving = false;       ///< Hands its pools over and takes no new ones.
  auto operator<=>(const member&) const = default;
};

/// \brief Who places the flows of one pool (the upstreams of one service in one
/// domain).
struct pool_assignment {
  std::string service;
  member_id owner;
  std::vector<member_id>
      successors;  ///< Those who may take the pool over, in order.
  std::optional<member_id> previous;  ///< Owner before this one; still has
                                      ///< flows until they are handed over.
  uint64_t since_epoch = 0;           ///< Epoch in which `owner` was named.
  uint64_t successors_epoch = 0;  ///< Epoch in which they were named; not below
                                  ///< `since_epoch`.
  bool released = false;  ///< `previous` gave the pool up itself and had
                          ///< stopped placing, so `owner` need not wait.
  auto operator<=>(const pool_assignment&) const = default;
};

/// \brief The roster object of a domain, kept in the store under
/// "rosters/<domain>". Invariants: member names are unique; one assignment per
/// service; `epoch` rises with each change.
struct roster {
  std::string domain;
  uint64_t epoch = 0;
  std::vector<member> members;
  std::vector<pool_assignment> pools;
  auto operator<=>(const roster&) const = default;
};

}  // namespace radishyard
