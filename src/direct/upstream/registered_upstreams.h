// The entries of the platform's registry by the name under which each is
// registered. Other programs write entries too, and several names may contain
// the same upstream id; the functions here decide which of them has the id.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "direct/upstream/routing_table.h"
#include "direct/upstream/upstream_entry.h"

namespace radishyard {

/// \brief Names of services.
using service_names = std::set<std::string>;

/// \brief The services to which the table sends flows.
service_names ListServices(const routing_table& table);

/// \brief The usable entries of the registry. Invariant: no map in `by_id` is
/// empty.
struct registered_upstreams {
  /// For each id, the entries whose names contain it, by name.
  std::map<upstream_id, std::map<std::string, upstream_entry>> by_id;
  /// The name that has each id, as AssignId() decided last. It stays while
  /// `by_id` has any entry of the id, also without its own one: an upstream
  /// whose entry expires for a moment is not replaced by an unknown service.
  std::map<upstream_id, std::string> owners;
};

/// \brief Adds the entry registered as `name`, or replaces it.
void PutEntry(registered_upstreams& registered, const std::string& name,
              const upstream_entry& entry);

/// \brief Removes the entry registered as `name` if it has the id `id`.
void RemoveEntry(registered_upstreams& registered, upstream_id id,
                 const std::string& name);

/// \brief Assigns an id to one of the names that contain it: one whose service
/// is in `services` goes first, then the name that has the id, then the first
/// in alphabetical order. A name of another service gets no id that another
/// name has had.
void AssignId(registered_upstreams& registered, upstream_id id,
              const service_names& services);

/// \brief Assigns all ids as AssignId() does, and forgets the owners of those
/// that no entry has.
void AssignIds(registered_upstreams& registered, const service_names& services);

/// \brief Returns the entry of the name that has the id, or null.
const upstream_entry* FindOwnEntry(const registered_upstreams& registered,
                                   upstream_id id);

/// \brief The entries of the names that have their ids, by ascending id.
std::vector<upstream_entry> ListOwnEntries(
    const registered_upstreams& registered);

/// \brief The names of usable entries whose id another name has, sorted by id.
std::vector<std::string> ListOtherNames(const registered_upstreams& registered);

/// \brief The ids that several names contain, sorted.
std::vector<upstream_id> ListContestedIds(
    const registered_upstreams& registered);

}  // namespace radishyard
