// To whom an ingress sends the packets of a pool.
#pragma once
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "roster/roster.h"

namespace radishyard {

/// \brief The owner if alive, then the live successors, then the other live
/// members that are not leaving, by rendezvous of the service.
///
/// The first acts as owner for TCP openings while the store cannot name
/// another. Costs one hash for each member; meant to be kept until the roster
/// or the liveness of a member changes.
std::vector<member_id> ForwardingOrder(const roster& r,
                                       std::string_view service,
                                       const std::set<member_id>& alive);

/// \brief The first of ForwardingOrder; nothing where no member is alive. Ranks
/// the members only where neither the owner nor a successor is.
std::optional<member_id> FirstOfRoute(const roster& r,
                                      const pool_assignment& pool,
                                      const std::set<member_id>& alive);

}  // namespace radishyard
