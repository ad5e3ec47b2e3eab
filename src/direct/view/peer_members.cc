// Records members from their reports and ranks them by capacity and hash.
#include "direct/view/peer_members.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace radishyard {
namespace {

/// A member is live this long after its last report. Members report about once
/// a second, so two lost reports are tolerated.
constexpr duration kLiveTimeout = 2500ms;
/// Members are kept this long after their last report. Those of other domains
/// are listed in replies to balancers that look for them.
constexpr duration kMemberRetention = 30s;
/// A member of another domain that was heard less recently may be gone. Its
/// readers send their sums each second at least, alternating between two
/// members.
constexpr duration kForeignLiveTimeout = 5s;
/// Most members kept.
constexpr size_t kMaxMembers = 4096;

uint64_t HashEndpoint(const endpoint& e, uint64_t seed) {
  const uint64_t word = uint64_t{e.address} << 16 | e.port;
  return XXH64(&word, sizeof word, seed);
}

/// Sort key of the members: the lowest ones read the platform.
auto ReaderRank(const view_member& m) {
  return std::tuple(UINT32_MAX - m.capacity_millicores, HashEndpoint(m.peer, 0),
                    m.peer);
}

}  // namespace

void RecordMember(peer_members& members, const view_member& member,
                  time_point now) {
  if (member.peer == members.self.peer) return;
  const bool is_new = !members.known.contains(member.peer);
  if (is_new && members.known.size() >= kMaxMembers) return;
  members.known[member.peer] = {member, now};
}

void ExpireMembers(peer_members& members, time_point now) {
  std::erase_if(members.known, [now](const auto& item) {
    return now - item.second.last_report_at > kMemberRetention;
  });
}

std::vector<view_member> FindLiveMembers(const peer_members& members,
                                         const std::string& domain,
                                         time_point now) {
  std::vector<view_member> live;
  const bool is_own = domain == members.self.domain;
  for (const auto& [peer, known] : members.known) {
    if (known.member.domain != domain) continue;
    if (now - known.last_report_at <=
        (is_own ? kLiveTimeout : kMemberRetention))
      live.push_back(known.member);
  }
  return live;
}

bool IsRegistryReader(const peer_members& members, time_point now) {
  size_t lower_ranked = 0;
  for (const view_member& m :
       FindLiveMembers(members, members.self.domain, now))
    if (ReaderRank(m) < ReaderRank(members.self)) ++lower_ranked;
  return lower_ranked < kMaxReadersPerDomain;
}

std::vector<endpoint> SelectReportTargets(const peer_members& members,
                                          size_t count, uint64_t round,
                                          time_point now) {
  std::vector<view_member> live =
      FindLiveMembers(members, members.self.domain, now);
  std::sort(live.begin(), live.end(), [](const auto& a, const auto& b) {
    return ReaderRank(a) < ReaderRank(b);
  });
  const auto rest = live.begin() + static_cast<int64_t>(std::min(
                                       kMaxReadersPerDomain, live.size()));
  std::sort(rest, live.end(), [round](const auto& a, const auto& b) {
    return HashEndpoint(a.peer, round) < HashEndpoint(b.peer, round);
  });
  std::vector<endpoint> targets;
  for (const view_member& m : live)
    if (targets.size() < count) targets.push_back(m.peer);
  return targets;
}

size_t CountKnown(const peer_members& members) {
  return static_cast<size_t>(std::count_if(
      members.known.begin(), members.known.end(), [&members](const auto& item) {
        return item.second.member.domain == members.self.domain;
      }));
}

std::vector<endpoint> SelectForeignTargets(const peer_members& members,
                                           uint64_t round, time_point now) {
  const auto rank = [now](const known_member& m) {
    return std::pair(now - m.last_report_at > kForeignLiveTimeout,
                     ReaderRank(m.member));
  };
  std::map<std::string, std::vector<const known_member*>> domains;
  for (const auto& [peer, known] : members.known)
    if (known.member.domain != members.self.domain)
      domains[known.member.domain].push_back(&known);
  std::vector<endpoint> targets;
  for (auto& [domain, list] : domains) {
    std::sort(list.begin(), list.end(), [&rank](const auto* a, const auto* b) {
      return rank(*a) < rank(*b);
    });
    const size_t choices = std::min(kMaxReadersPerDomain, list.size());
    targets.push_back(list[round % choices]->member.peer);
  }
  return targets;
}

}  // namespace radishyard
