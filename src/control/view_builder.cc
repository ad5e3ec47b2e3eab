// Builds the routing view, by which the traffic threads route packets, from the
// service table, the rosters and the liveness of the balancers.
#include "control/view_builder.h"

#include <algorithm>

#include "pool/pool_state.h"
#include "roster/forwarding_order.h"
#include "roster/rendezvous.h"
#include "roster/roster_update.h"

namespace radishyard {
namespace {

// An upstream lookup is sent to at most this many balancers.
constexpr size_t kMaxLookupPeers = 16;

// Index by member_id of the members that the rosters of all domains list.
class member_index {
 public:
  explicit member_index(const std::map<std::string, roster>& rosters) {
    for (const auto& [domain, r] : rosters) {
      for (const member& m : r.members) by_id_[m.id] = &m;
    }
  }
  const member* Find(const member_id& id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
  }
  const std::map<member_id, const member*>& All() const { return by_id_; }

 private:
  std::map<member_id, const member*> by_id_;
};

// Endpoint at which the traffic thread of `m` that serves the pool receives
// packets.
endpoint ThreadEndpoint(const member& m, const pool_name& name) {
  endpoint at = m.data;
  at.port = static_cast<uint16_t>(at.port + ThreadIndex(name, m.data_threads));
  return at;
}

// Chooses the member of another domain that serves the pool while no balancer
// of the pool's own domain is alive; nothing if there is none.
std::optional<member_id> ChooseSubstitute(const pool_name& name,
                                          const routing_view_inputs& inputs,
                                          const member_index& members) {
  std::vector<member_id> ids;
  std::vector<rendezvous_candidate> candidates;
  for (const auto& [id, m] : members.All()) {
    if (!inputs.alive.contains(id) || m->leaving || m->domain == name.domain)
      continue;
    ids.push_back(id);
    candidates.push_back({NameHash(id.name), static_cast<double>(m->size)});
  }
  if (ids.empty()) return std::nullopt;
  return ids[PickByRendezvous(NameHash(name.service + "/" + name.domain),
                              candidates)];
}

void SetRole(pool_route& route, const routing_view_inputs& inputs,
             const pool_assignment& pool, const member_id& target) {
  const bool is_owner = pool.owner == inputs.self;
  if (target != inputs.self) return;
  route.role = is_owner ? pool_role::kOwner : pool_role::kSubstitute;
}

// Sets the epoch of the route and which balancer serves the pool: this
// balancer's role, the endpoint of the serving balancer and that of the
// previous owner.
void SetServingBalancer(pool_route& route, const routing_view_inputs& inputs,
                        const member_index& members) {
  const auto found = inputs.rosters.find(route.name.domain);
  if (found == inputs.rosters.end()) return;
  const pool_assignment* const pool =
      FindPool(found->second, route.name.service);
  if (pool == nullptr) return;
  const pool_name& name = route.name;
  std::optional<member_id> target =
      FirstForwardingTarget(found->second, *pool, inputs.alive);
  if (!target && inputs.unserved_domains.contains(name.domain)) {
    target = ChooseSubstitute(name, inputs, members);
    route.substituted = target.has_value();
  }
  route.epoch = pool->since_epoch;
  if (!target) {
    const member* const listed_owner = members.Find(pool->owner);
    if (listed_owner != nullptr)
      route.owner = ThreadEndpoint(*listed_owner, name);
    return;
  }
  SetRole(route, inputs, *pool, *target);
  const member* const serving_member = members.Find(*target);
  if (serving_member == nullptr) return;
  route.reachable = true;
  route.owner = ThreadEndpoint(*serving_member, name);
  // Until the handover is complete, the previous owner has the records of flows
  // that were open before.
  const bool forwards_to_previous =
      pool->previous_owner && inputs.alive.contains(*pool->previous_owner) &&
      *pool->previous_owner != inputs.self &&
      !inputs.completed_handovers.contains(name);
  const member* const previous =
      forwards_to_previous ? members.Find(*pool->previous_owner) : nullptr;
  if (previous != nullptr)
    route.previous_owner = ThreadEndpoint(*previous, name);
}

std::set<std::string> DomainsOf(const service& svc) {
  std::set<std::string> domains;
  for (const upstream& u : svc.upstreams) domains.insert(u.domain);
  return domains;
}

void AddService(routing_view& view, const std::shared_ptr<const service>& svc,
                const routing_view_inputs& inputs,
                const member_index& members) {
  std::map<std::string, uint16_t> pool_of_domain;
  for (const std::string& domain : DomainsOf(*svc)) {
    pool_route route;
    route.name = {svc->name, domain};
    route.table = svc;
    route.tag = DomainTag(domain);
    route.weight = PoolWeight(*svc, domain);
    route.evacuated = inputs.evacuated_domains.contains(domain);
    SetServingBalancer(route, inputs, members);
    pool_of_domain[domain] = static_cast<uint16_t>(view.pools.size());
    view.pools.push_back(std::move(route));
  }
  for (const service_port& port : svc->ports) {
    const endpoint at{svc->address, port.port};
    port_route& route = view.ports[{port.proto, at}];
    route.port = port;
    for (const auto& [domain, index] : pool_of_domain)
      route.pools.push_back(index);
    for (const upstream& u : svc->upstreams) {
      const port_key key{port.proto, {u.address, port.upstream_port}};
      view.upstreams[key] = {pool_of_domain[u.domain], at, port};
    }
  }
}

// Removes the endpoints that two services have in common, and all ports of a
// service whose address is also that of another service's upstream. The route
// of a packet to or from such an endpoint would be ambiguous.
void RemoveConflictingEndpoints(routing_view& view,
                                const service_table& table) {
  for (const table_conflict& c : FindTableConflicts(table)) {
    if (c.kind == table_conflict_kind::kServiceAsUpstream) {
      absl::erase_if(view.ports, [&c](const auto& entry) {
        return entry.first.at.address == c.place.address;
      });
      continue;
    }
    view.ports.erase({c.proto, c.place});
    view.upstreams.erase({c.proto, c.place});
  }
}

// Adds the data endpoints of `m` to those from which packets that a balancer
// has forwarded are accepted.
void AddTrustedSenders(routing_view& view, const member& m) {
  for (uint16_t i = 0; i < m.data_threads; ++i) {
    view.balancers.insert(
        {m.data.address, static_cast<uint16_t>(m.data.port + i)});
  }
}

void AddBalancers(routing_view& view, const routing_view_inputs& inputs,
                  const member_index& members) {
  for (const auto& [id, m] : members.All()) {
    AddTrustedSenders(view, *m);
    const bool is_peer = id != inputs.self && inputs.alive.contains(id);
    if (is_peer && view.lookup_peers.size() < kMaxLookupPeers)
      view.lookup_peers.push_back(m->data);
  }
  for (const member& m : inputs.unlisted_members) AddTrustedSenders(view, m);
}

}  // namespace

uint16_t DomainTag(const std::string& domain) {
  return static_cast<uint16_t>(NameHash(domain));
}

routing_view BuildRoutingView(const service_table& table,
                              const routing_view_inputs& inputs) {
  routing_view view;
  view.fabric = inputs.fabric;
  view.trace_one_in = inputs.trace_one_in;
  const member_index members(inputs.rosters);
  for (const auto& [name, record] : table.records) {
    if (record->value.deleted) continue;
    AddService(view, std::shared_ptr<const service>(record, &record->value),
               inputs, members);
  }
  RemoveConflictingEndpoints(view, table);
  AddBalancers(view, inputs, members);
  return view;
}

}  // namespace radishyard
