// Finds conflicts through an index from endpoints and addresses to services.
#include "table/table_check.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace radishyard {
namespace {

using protocol_endpoint = std::pair<protocol, endpoint>;
using names_by_endpoint = std::map<protocol_endpoint, std::set<std::string>>;
using names_by_address = std::map<uint32_t, std::set<std::string>>;
using address_set = absl::flat_hash_set<uint32_t>;

/// Names of the services that use an endpoint or address.
struct service_index {
  names_by_endpoint upstream_endpoints;
  names_by_endpoint service_endpoints;
  names_by_address service_addresses;
  names_by_address upstream_addresses;
};

void AddToIndex(const service& s, service_index& index) {
  index.service_addresses[s.address].insert(s.name);
  for (const service_port& p : s.ports)
    index.service_endpoints[{p.proto, {s.address, p.port}}].insert(s.name);
  for (const upstream& u : s.upstreams) {
    index.upstream_addresses[u.address].insert(s.name);
    for (const service_port& p : s.ports) {
      const endpoint place{u.address, p.upstream_port};
      index.upstream_endpoints[{p.proto, place}].insert(s.name);
    }
  }
}

void AddSharedEndpoints(const names_by_endpoint& names_by_key,
                        table_conflict_kind kind,
                        std::vector<table_conflict>& out) {
  for (const auto& [key, names] : names_by_key) {
    for (auto it = names.begin(); it != names.end(); ++it) {
      if (it == names.begin()) continue;
      out.push_back({kind, key.first, key.second, *names.begin(), *it});
    }
  }
}

void AddServiceAsUpstream(const service_index& index,
                          std::vector<table_conflict>& out) {
  for (const auto& [address, users] : index.upstream_addresses) {
    const auto it = index.service_addresses.find(address);
    if (it == index.service_addresses.end()) continue;
    for (const std::string& owner : it->second) {
      for (const std::string& user : users) {
        if (owner == user) continue;
        const endpoint place{address, 0};
        out.push_back({table_conflict_kind::kServiceAsUpstream, protocol::kTcp,
                       place, owner, user});
      }
    }
  }
}

address_set CollectAddresses(const service& s) {
  address_set addresses{s.address};
  for (const upstream& u : s.upstreams) addresses.insert(u.address);
  return addresses;
}

bool UsesAnyOf(const service& s, const address_set& addresses) {
  if (addresses.contains(s.address)) return true;
  for (const upstream& u : s.upstreams) {
    if (addresses.contains(u.address)) return true;
  }
  return false;
}

std::string ToPlaceText(const table_conflict& c) {
  if (c.kind == table_conflict_kind::kServiceAsUpstream)
    return ToDottedAddress(c.place.address);
  return (c.proto == protocol::kTcp ? "tcp " : "udp ") + ToString(c.place);
}

}  // namespace

std::vector<table_conflict> FindConflicts(
    std::span<const service* const> services) {
  service_index index;
  for (const service* s : services) {
    if (!s->deleted) AddToIndex(*s, index);
  }
  std::vector<table_conflict> out;
  AddSharedEndpoints(index.upstream_endpoints,
                     table_conflict_kind::kUpstreamEndpoint, out);
  AddSharedEndpoints(index.service_endpoints,
                     table_conflict_kind::kServiceEndpoint, out);
  AddServiceAsUpstream(index, out);
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<table_conflict> FindConflictsOfService(
    const service& s, std::span<const service* const> others) {
  const address_set addresses = CollectAddresses(s);
  std::vector<table_conflict> out;
  for (const service* other : others) {
    if (other->name == s.name || !UsesAnyOf(*other, addresses)) continue;
    const std::array pair{&s, other};
    const std::vector<table_conflict> found = FindConflicts(pair);
    out.insert(out.end(), found.begin(), found.end());
  }
  return out;
}

finding ToFinding(const table_conflict& c) {
  const std::string where = ToPlaceText(c);
  switch (c.kind) {
    case table_conflict_kind::kUpstreamEndpoint:
      return {"/" + c.second_service,
              "has the upstream endpoint " + where +
                  ", which is also one of the service " + c.first_service};
    case table_conflict_kind::kServiceEndpoint:
      return {"/" + c.second_service,
              "has the service endpoint " + where +
                  ", which is also one of the service " + c.first_service};
    case table_conflict_kind::kServiceAsUpstream:
      return {"/" + c.second_service,
              "has the upstream " + where +
                  ", which is the address of the service " + c.first_service};
  }
  return {};
}

}  // namespace radishyard
