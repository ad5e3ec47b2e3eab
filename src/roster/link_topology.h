// Who exchanges heartbeats with whom: everyone with everyone inside a domain,
// and between domains only the delegates, so that the links of a balancer grow
// with its domain and the number of domains, not with the whole fleet.
#pragma once
#include <set>
#include <span>
#include <vector>

#include "roster/roster.h"

namespace radishyard {

/// \brief The first two live members of the domain by rendezvous, not leaving
/// where others are there. They speak for their domain with the other domains.
std::vector<member_id> DelegatesOf(const roster& r,
                                   const std::set<member_id>& alive);

/// \brief The peers that `self` keeps a link with, in order: all members of its
/// own domain, dead ones too so that their return shows, and where it is a
/// delegate the delegates of the other domains. Members of other domains that
/// have a role in the own roster, and the members of a roster in which `self`
/// has one, are linked as well.
std::vector<member_id> LinksOf(const member_id& self,
                               std::span<const roster> rosters,
                               const std::set<member_id>& alive);

}  // namespace radishyard
