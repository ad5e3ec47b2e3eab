// Decides which of several registered names has an upstream id.
#include "direct/upstream/registered_upstreams.h"

namespace radishyard {
namespace {

using named_entries = std::map<std::string, upstream_entry>;

/// Returns the name that gets the id, or an empty one.
/// \param owner the name that has it; empty if none had it before.
std::string SelectOwner(const named_entries& entries, const std::string& owner,
                        const service_names& services) {
  const auto own = entries.find(owner);
  const bool is_own_known =
      own != entries.end() && services.contains(own->second.service);
  if (is_own_known) return owner;
  for (const auto& [name, entry] : entries)
    if (services.contains(entry.service)) return name;
  return owner.empty() ? entries.begin()->first : owner;
}

}  // namespace

service_names ListServices(const routing_table& table) {
  service_names services;
  for (const published_address& row : table.addresses)
    for (const service_share& share : row.shares)
      services.insert(share.service);
  return services;
}

void PutEntry(registered_upstreams& registered, const std::string& name,
              const upstream_entry& entry) {
  registered.by_id[entry.id].insert_or_assign(name, entry);
}

void RemoveEntry(registered_upstreams& registered, upstream_id id,
                 const std::string& name) {
  const auto found = registered.by_id.find(id);
  if (found == registered.by_id.end()) return;
  found->second.erase(name);
  if (found->second.empty()) registered.by_id.erase(found);
}

void AssignId(registered_upstreams& registered, upstream_id id,
              const service_names& services) {
  const auto found = registered.by_id.find(id);
  if (found == registered.by_id.end()) {
    registered.owners.erase(id);
    return;
  }
  std::string& owner = registered.owners[id];
  owner = SelectOwner(found->second, owner, services);
}

void AssignIds(registered_upstreams& registered,
               const service_names& services) {
  std::erase_if(registered.owners, [&](const auto& item) {
    return !registered.by_id.contains(item.first);
  });
  for (const auto& [id, entries] : registered.by_id)
    AssignId(registered, id, services);
}

const upstream_entry* FindOwnEntry(const registered_upstreams& registered,
                                   upstream_id id) {
  const auto entries = registered.by_id.find(id);
  const auto owner = registered.owners.find(id);
  if (entries == registered.by_id.end() || owner == registered.owners.end())
    return nullptr;
  const auto own = entries->second.find(owner->second);
  return own == entries->second.end() ? nullptr : &own->second;
}

std::vector<upstream_entry> ListOwnEntries(
    const registered_upstreams& registered) {
  std::vector<upstream_entry> own_entries;
  for (const auto& [id, entries] : registered.by_id)
    if (const upstream_entry* const own = FindOwnEntry(registered, id))
      own_entries.push_back(*own);
  return own_entries;
}

std::vector<std::string> ListOtherNames(
    const registered_upstreams& registered) {
  std::vector<std::string> others;
  for (const auto& [id, entries] : registered.by_id) {
    const auto owner = registered.owners.find(id);
    for (const auto& [name, entry] : entries) {
      const bool has_id =
          owner != registered.owners.end() && owner->second == name;
      if (!has_id) others.push_back(name);
    }
  }
  return others;
}

std::vector<upstream_id> ListContestedIds(
    const registered_upstreams& registered) {
  std::vector<upstream_id> contested;
  for (const auto& [id, entries] : registered.by_id)
    if (entries.size() > 1) contested.push_back(id);
  return contested;
}

}  // namespace radishyard
