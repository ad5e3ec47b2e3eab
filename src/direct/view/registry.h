// Interface to the platform's registry of upstreams and its routing table.
// Tests replace the implementation.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "direct/evacuation/evacuation.h"
#include "direct/start_limit/claim_store.h"
#include "direct/upstream/list_history.h"
#include "direct/upstream/registered_upstreams.h"
#include "direct/upstream/routing_table.h"
#include "direct/upstream/upstream_entry.h"
#include "store/object_store.h"
#include "store/store_revision.h"

namespace radishyard {

/// \brief A call that is not answered fails after this time; a watch, after its
/// wait and this time.
inline constexpr duration kRegistryTimeout = 1s;

/// \brief The result of a read or a watch of the table.
struct table_update {
  std::optional<routing_table> table;  ///< Nothing if it has not changed.
  /// The next watch starts here. Of the store if the table was read; if it was
  /// watched, of the last change delivered, with the number 0 if there was
  /// none: the store may deliver a change later than its revision suggests.
  store_revision revision;
  auto operator<=>(const table_update&) const = default;
};

/// \brief The changes of the upstream list since a revision.
struct upstream_changes {
  list_delta delta;
  store_revision revision;  ///< Of the store, with these changes.
  /// Number of the last of these changes; 0 if there are none. The next read
  /// starts here and not at `revision`: a change that the store has not
  /// delivered yet then follows, or the history is found lost.
  uint64_t last_change = 0;
  auto operator<=>(const upstream_changes&) const = default;
};

/// \brief Asynchronous access to the registry and the table. Each function
/// calls its handler exactly once, and only after it has returned. A call that
/// the store has lost fails as kRegistryTimeout says.
///
/// A watch, or a read of changes, fails with kNotFound if the store no longer
/// has the history after the given revision, or has returned from a copy since.
/// A response from before the last return fails with kUnavailable.
class registry {
 public:
  virtual ~registry() = default;
  virtual void ListUpstreams(store_handler<upstream_list> handler) = 0;
  /// \brief Reads the changes after `revision`. It is one call, while a list
  /// has as many as it has pages.
  virtual void ReadUpstreamChanges(const store_revision& revision,
                                   store_handler<upstream_changes> handler) = 0;
  /// \brief Tells which services the table in force has. Where several
  /// registered names contain one id, the next list or changes give it to an
  /// entry of one of these services; see AssignId().
  virtual void SetServices(const service_names& /*services*/) {}
  virtual void ReadTable(store_handler<table_update> handler) = 0;
  /// \brief Waits up to `wait` for a change of the table after `revision`.
  virtual void WatchTable(const store_revision& revision, duration wait,
                          store_handler<table_update> handler) = 0;
  /// \brief Reads all evacuation requests.
  virtual void ListEvacuations(store_handler<evacuation_list> handler) = 0;
  /// \brief The claims of grants on cold upstreams; null if the platform keeps
  /// none.
  virtual claim_store* Claims() { return nullptr; }
};

}  // namespace radishyard
