// Order of preference among the members of a roster for the packets of a pool.
#include "roster/forwarding_order.h"

#include <algorithm>

#include "roster/rendezvous.h"
#include "roster/roster_update.h"

namespace radishyard {
namespace {

void AppendIfNew(std::vector<member_id>& order, const member_id& id) {
  if (std::ranges::find(order, id) == order.end()) order.push_back(id);
}

}  // namespace

std::vector<member_id> ForwardingOrder(const roster& r,
                                       std::string_view service,
                                       const std::set<member_id>& alive) {
  std::vector<member_id> order;
  if (const pool_assignment* pool = FindPool(r, service)) {
    if (alive.contains(pool->owner)) order.push_back(pool->owner);
    for (const member_id& id : pool->successors) {
      if (alive.contains(id)) AppendIfNew(order, id);
    }
  }
  std::vector<const member*> other_members;
  std::vector<rendezvous_candidate> candidates;
  for (const member& m : r.members) {
    if (m.leaving || !alive.contains(m.id)) continue;
    other_members.push_back(&m);
    candidates.push_back({NameHash(m.id.name), static_cast<double>(m.size)});
  }
  for (const size_t i : RankByRendezvous(NameHash(service), candidates)) {
    AppendIfNew(order, other_members[i]->id);
  }
  return order;
}

std::optional<member_id> FirstForwardingTarget(
    const roster& r, const pool_assignment& pool,
    const std::set<member_id>& alive) {
  if (alive.contains(pool.owner)) return pool.owner;
  const auto successor = std::ranges::find_if(
      pool.successors,
      [&alive](const member_id& id) { return alive.contains(id); });
  if (successor != pool.successors.end()) return *successor;
  const std::vector<member_id> order = ForwardingOrder(r, pool.service, alive);
  if (order.empty()) return std::nullopt;
  return order.front();
}

}  // namespace radishyard
