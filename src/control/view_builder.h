// Builds the routing view from the table, the rosters and the liveness of
// members. This is a pure function of the control thread's state.
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

/// \brief Inputs of the routing view besides the table.
struct routing_view_inputs {
  member_id self;
  std::map<std::string, roster> rosters;  ///< By domain.
  std::set<member_id> alive;              ///< Includes `self`.
  std::set<pool_name>
      completed_handovers;  ///< Pools whose previous owner has handed over all
                            ///< flows to this balancer.
  /// Domains that have had a live balancer, but have had none for some time.
  /// Balancers of other domains serve their pools.
  std::set<std::string> unserved_domains;
  std::set<std::string> evacuated_domains;
  /// Balancers that are in no roster yet. Their packets are trusted.
  std::vector<member> unlisted_members;
  std::vector<endpoint> fabric;
  uint32_t trace_one_in = 0;
};

/// \brief Builds the routing view of the given state, without the endpoints
/// that are in conflict between services.
routing_view BuildRoutingView(const service_table& table,
                              const routing_view_inputs& inputs);

/// \brief The tag that identifies the pool of a domain in packets between
/// balancers.
uint16_t DomainTag(const std::string& domain);

}  // namespace radishyard
