// Chooses which balancers exchange heartbeats: all pairs inside a failure
// domain, and between domains only the delegates. The number of links of a
// balancer thus grows with the size of its domain and with the number of
// domains, not with the size of the whole fleet.
#pragma once
#include <set>
#include <span>
#include <vector>

#include "roster/roster.h"

namespace radishyard {

/// \brief The delegates of the domain: its first two live members by rendezvous
/// hashing, where leaving members come last. They exchange heartbeats with the
/// delegates of the other domains.
std::vector<member_id> ChooseDelegates(const roster& r,
                                       const std::set<member_id>& alive);

/// \brief The peers that `self` keeps a link to, sorted: all members of each
/// roster that lists `self`. A roster lists the members of its domain, and
/// members of other domains that own or succeed a pool there. Dead members are
/// included, so that their return is detected. If `self` is a delegate, the
/// delegates of all domains are included too.
std::vector<member_id> ChooseLinks(const member_id& self,
                                   std::span<const roster> rosters,
                                   const std::set<member_id>& alive);

}  // namespace radishyard
