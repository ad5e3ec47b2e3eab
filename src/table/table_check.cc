// Finds clashes by one pass over the endpoints of the services.
#include "table/table_check.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace radishyard {
namespace {

using claim = std::pair<protocol, endpoint>;
using claim_map = std::map<claim, std::set<std::string>>;
using address_map = std::map<uint32_t, std::set<std::string>>;
using address_set = absl::flat_hash_set<uint32_t>;

struct claims {
  claim_map upstream_endpoints;
  claim_map service_endpoints;
  address_map service_addresses;
  address_map upstream_addresses;
};

void Collect(const service& s, claims& all) {
  all.service_addresses[s.address].insert(s.name);
  for (const service_port& p : s.ports)
    all.service_endpoints[{p.proto, {s.address, p.port}}].insert(s.name);
  for (const upstream& u : s.upstreams) {
    all.upstream_addresses[u.address].insert(s.name);
    for (const service_port& p : s.ports) {
      const endpoint place{u.address, p.upstream_port};
      all.upstream_endpoints[{p.proto, place}].insert(s.name);
    }
  }
}

void AddShared(const claim_map& by_claim, table_conflict_kind kind,
               std::vector<table_conflict>& out) {
  for (const auto& [key, names] : by_claim) {
    for (auto it = names.begin(); it != names.end(); ++it) {
      if (it == names.begin()) continue;
      out.push_back({kind, key.first, key.second, *names.begin(), *it});
    }
  }
}

void AddServiceAsUpstream(const claims& all, std::vector<table_conflict>& out) {
  for (const auto& [address, users] : all.upstream_addresses) {
    const auto it = all.service_addresses.find(address);
    if (it == all.service_addresses.end()) continue;
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

address_set AddressesOf(const service& s) {
  address_set addresses{s.address};
  for (const upstream& u : s.upstreams) addresses.insert(u.address);
  return addresses;
}

bool HasAnyOf(const service& s, const address_set& addresses) {
  if (addresses.contains(s.address)) return true;
  for (const upstream& u : s.upstreams) {
    if (addresses.contains(u.address)) return true;
  }
  return false;
}

std::string PlaceText(const table_conflict& c) {
  if (c.kind == table_conflict_kind::kServiceAsUpstream)
    return ToDottedAddress(c.place.address);
  return (c.proto == protocol::kTcp ? "tcp " : "udp ") + ToString(c.place);
}

}  // namespace

std::vector<table_conflict> FindClashes(
    std::span<const service* const> services) {
  claims all;
  for (const service* s : services) {
    if (!s->deleted) Collect(*s, all);
  }
  std::vector<table_conflict> out;
  AddShared(all.upstream_endpoints, table_conflict_kind::kUpstreamEndpoint,
            out);
  AddShared(all.service_endpoints, table_conflict_kind::kServiceEndpoint, out);
  AddServiceAsUpstream(all, out);
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<table_conflict> FindClashesOf(
    const service& s, std::span<const service* const> others) {
  const address_set addresses = AddressesOf(s);
  std::vector<table_conflict> out;
  for (const service* other : others) {
    if (other->name == s.name || !HasAnyOf(*other, addresses)) continue;
    const std::array pair{&s, other};
    const std::vector<table_conflict> found = FindClashes(pair);
    out.insert(out.end(), found.begin(), found.end());
  }
  return out;
}

finding ToFinding(const table_conflict& c) {
  const std::string where = PlaceText(c);
  switch (c.kind) {
    case table_conflict_kind::kUpstreamEndpoint:
      return {"/" + c.second_service, "has the upstream endpoint " + where +
                                          ", as has " + c.first_service};
    case table_conflict_kind::kServiceEndpoint:
      return {"/" + c.second_service, "has the service endpoint " + where +
                                          ", as has " + c.first_service};
    case table_conflict_kind::kServiceAsUpstream:
      return {"/" + c.second_service, "has the upstream " + where +
                                          ", the address of the service " +
                                          c.first_service};
  }
  return {};
}

}  // namespace radishyard
