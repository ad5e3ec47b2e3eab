// The balancers that this one has heard of, and who reads the platform for its
// failure domain.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "direct/view_message.h"

namespace radishyard {

/// \brief Balancers of one domain that read the platform for the others. Two,
/// so that the loss of one is not felt.
inline constexpr size_t kMaxReadersPerDomain = 2;

/// \brief When a member was heard last.
struct known_member {
  view_member member;
  time_point last_report_at{};
};

/// \brief Members by their address. Invariant: never contains this balancer.
struct peer_members {
  view_member self;
  std::map<endpoint, known_member> known;
};

/// \brief Notes that a member was heard.
void RecordMember(peer_members& members, const view_member& member,
                  time_point now);

/// \brief Forgets members that have been silent for long.
void ExpireMembers(peer_members& members, time_point now);

/// \brief Members of `domain` heard lately, without this balancer.
std::vector<view_member> FindLiveMembers(const peer_members& members,
                                         const std::string& domain,
                                         time_point now);

/// \brief True if this balancer is one of its domain's readers: the largest
/// ones, by a hash among equals. All agree that hear the same members.
bool IsRegistryReader(const peer_members& members, time_point now);

/// \brief At most `count` live members of the own domain, other ones for each
/// `round`, readers always.
std::vector<endpoint> SelectReportTargets(const peer_members& members,
                                          size_t count, uint64_t round,
                                          time_point now);

}  // namespace radishyard
