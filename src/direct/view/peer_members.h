// Other balancers that have sent reports, and the choice of those that read the
// platform for their failure domain.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "direct/upstream/view_member.h"

namespace radishyard {

/// \brief Balancers of one domain that read the platform for all its members.
/// With two of them, the loss of one has no effect.
inline constexpr size_t kMaxReadersPerDomain = 2;

/// \brief A member and the time of its last report.
struct known_member {
  view_member member;
  time_point last_report_at{};
};

/// \brief Members, keyed by peer address. Invariant: `known` never contains
/// this balancer.
struct peer_members {
  view_member self;
  std::map<endpoint, known_member> known;
};

/// \brief Records a report from a member. New members are ignored once the
/// number of members reaches its limit.
void RecordMember(peer_members& members, const view_member& member,
                  time_point now);

/// \brief Removes members whose last report is too old.
void ExpireMembers(peer_members& members, time_point now);

/// \brief Returns the members of `domain` with a recent report, without this
/// balancer.
std::vector<view_member> FindLiveMembers(const peer_members& members,
                                         const std::string& domain,
                                         time_point now);

/// \brief True if this balancer is one of the readers of its domain: the
/// members with the highest capacity, a hash decides among equals. All members
/// that receive reports from the same members agree on the readers.
bool IsRegistryReader(const peer_members& members, time_point now);

/// \brief Selects at most `count` live members of this balancer's domain that
/// receive a report: first the readers, then others that vary with `round`.
std::vector<endpoint> SelectReportTargets(const peer_members& members,
                                          size_t count, uint64_t round,
                                          time_point now);

/// \brief Number of known members of this balancer's domain, live or not.
size_t CountKnown(const peer_members& members);

/// \brief Selects one member of each other domain that receives the sums of
/// this one: of those that were heard lately, the two of the highest rank in
/// turn, which are readers if their domain is known here.
std::vector<endpoint> SelectForeignTargets(const peer_members& members,
                                           uint64_t round, time_point now);

}  // namespace radishyard
