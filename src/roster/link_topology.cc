// Chooses delegates and links as pure functions of the rosters and the set of
// live members, so that balancers with the same inputs choose the same.
#include "roster/link_topology.h"

#include <algorithm>

#include "roster/rendezvous.h"
#include "roster/roster_update.h"

namespace radishyard {
namespace {

constexpr size_t kDelegatesPerDomain = 2;

}  // namespace

std::vector<member_id> ChooseDelegates(const roster& r,
                                       const std::set<member_id>& alive) {
  std::vector<const member*> members;
  std::vector<rendezvous_candidate> candidates;
  for (const member& m : r.members) {
    if (m.domain != r.domain || !alive.contains(m.id)) continue;
    members.push_back(&m);
    candidates.push_back({NameHash(m.id.name), 1});
  }
  std::vector<size_t> order = RankByRendezvous(NameHash(r.domain), candidates);
  std::stable_partition(order.begin(), order.end(),
                        [&](size_t i) { return !members[i]->leaving; });
  std::vector<member_id> delegates;
  for (const size_t i : order) {
    if (delegates.size() < kDelegatesPerDomain)
      delegates.push_back(members[i]->id);
  }
  return delegates;
}

std::vector<member_id> ChooseLinks(const member_id& self,
                                   std::span<const roster> rosters,
                                   const std::set<member_id>& alive) {
  std::set<member_id> links;
  bool is_delegate = false;
  for (const roster& r : rosters) {
    if (FindMember(r, self) == nullptr) continue;
    for (const member& m : r.members) links.insert(m.id);
    const std::vector<member_id> delegates = ChooseDelegates(r, alive);
    is_delegate = is_delegate || std::ranges::count(delegates, self) > 0;
  }
  for (const roster& r : rosters) {
    if (!is_delegate) break;
    for (const member_id& id : ChooseDelegates(r, alive)) links.insert(id);
  }
  links.erase(self);
  return {links.begin(), links.end()};
}

}  // namespace radishyard
