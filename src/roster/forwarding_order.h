// Chooses the member to which an ingress forwards the packets of a pool.
#pragma once
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "roster/roster.h"

namespace radishyard {

/// \brief The live members in the order of preference: the owner, then the
/// successors, then the other members that are not leaving, ranked by
/// rendezvous hashing of the service.
///
/// While no other owner can be written to the store, the first member acts as
/// owner for TCP openings. The function hashes each member once; callers should
/// keep the result until the roster or the liveness of a member changes.
std::vector<member_id> ForwardingOrder(const roster& r,
                                       std::string_view service,
                                       const std::set<member_id>& alive);

/// \brief The first member of ForwardingOrder; nothing if no member is alive.
/// It ranks the members only if neither the owner nor a successor is alive.
std::optional<member_id> FirstForwardingTarget(
    const roster& r, const pool_assignment& pool,
    const std::set<member_id>& alive);

}  // namespace radishyard
