// What direct server return needs from the platform: the registry of upstreams
// and the routing table, behind an interface that tests replace.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "direct/routing_table.h"
#include "direct/upstream_entry.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief What a reading or a watch of the table found.
struct table_update {
  std::optional<routing_table> table;  ///< Nothing where it did not change.
  uint64_t revision = 0;               ///< Of the store; watch from here.
  auto operator<=>(const table_update&) const = default;
};

/// \brief Asynchronous access. Every call ends in one call of its handler,
/// never inside the call itself.
///
/// kNotFound tells a watch that the history after its revision is lost.
class registry {
 public:
  virtual ~registry() = default;
  virtual void ListUpstreams(store_handler<upstream_list> handler) = 0;
  virtual void ReadTable(store_handler<table_update> handler) = 0;
  /// \brief Waits up to `wait` for a change of the table after `revision`.
  virtual void WatchTable(uint64_t revision, duration wait,
                          store_handler<table_update> handler) = 0;
};

}  // namespace radishyard
