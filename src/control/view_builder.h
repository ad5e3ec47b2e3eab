// Builds the routing view from table, rosters and liveness: a pure function of
// the control state.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "roster/roster.h"
#include "table/service_table.h"
#include "traffic/routing_view.h"

namespace radishyard {

/// \brief What the view depends on besides the table.
struct routing_view_inputs {
  member_id self;
  std::map<std::string, roster> rosters;  ///< By domain.
  std::set<member_id> alive;              ///< `self` included.
  std::set<pool_name>
      completed_handovers;  ///< Own pools whose previous owner has finished.
  /// Domains that were reachable and have had no live balancer for some time;
  /// balancers of other domains stand in for them.
  std::set<std::string> unserved_domains;
  std::vector<member> unlisted_members;  ///< Balancers that are not listed yet;
                                         ///< their packets are trusted.
  std::vector<endpoint> fabric;
  uint32_t trace_one_in = 0;
};

/// \brief The view of the present state. Endpoints that clash between services
/// are left out.
routing_view BuildRoutingView(const service_table& table,
                              const routing_view_inputs& inputs);

/// \brief The tag by which balancers name the pools of a service to each other.
uint16_t DomainTag(const std::string& domain);

}  // namespace radishyard
