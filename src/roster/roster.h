// The roster of a failure domain: its member balancers, and which of them owns
// which pool.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief Identifies one run of the daemon on one balancer. Each restart has a
/// higher incarnation.
struct member_id {
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const member_id&) const = default;
};

/// \brief Roster entry of a balancer.
struct member {
  member_id id;
  std::string domain;
  uint32_t size = 1;  ///< Relative capacity of the VM.
  endpoint data;      ///< First data port (UDP); thread i listens on port + i.
  uint16_t data_threads = 1;  ///< Number of traffic threads.
  endpoint control;           ///< Heartbeats and other peer messages (TCP).
  endpoint admin;             ///< Status and metrics pages (HTTP).
  bool leaving = false;       ///< Hands its pools over and gets no new ones.
  auto operator<=>(const member&) const = default;
};

/// \brief Owner and successors of one pool. A pool is the upstreams of one
/// service in one domain; its owner places their flows.
struct pool_assignment {
  std::string service;
  member_id owner;
  std::vector<member_id>
      successors;  ///< Members that may take the pool over, in order.
  std::optional<member_id>
      previous_owner;  ///< Still has flows of the pool until their handover.
  uint64_t since_epoch = 0;  ///< Epoch in which `owner` became the owner.
  uint64_t successors_epoch =
      0;  ///< Epoch in which `successors` last changed; at least `since_epoch`.
  bool released = false;  ///< `previous_owner` released the pool itself, after
                          ///< it had stopped placing non-idempotent requests,
                          ///< so that `owner` need not wait for its lease.
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
