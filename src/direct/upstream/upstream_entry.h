// The registry entry of an upstream, and the list of all entries.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/upstream/flow_mark.h"
#include "packet/flow_key.h"
#include "store/store_revision.h"

namespace radishyard {

/// \brief The entry with which an upstream registers itself.
struct upstream_entry {
  upstream_id id = 0;
  std::string service;
  endpoint address;           ///< Other upstreams may reuse it later.
  std::string domain;         ///< Failure domain.
  uint32_t slots = 1;         ///< Requests that it processes concurrently.
  bool leaving = false;       ///< It gets no new flows.
  duration cold_remaining{};  ///< Remaining time of its cold start.
  /// Unix time of its start; identifies the incarnation.
  int64_t started_unix_ms = 0;
  /// Of the upstream's writes; increases within an incarnation. Writes that
  /// change nothing else are not passed on between balancers.
  int64_t sequence = 0;
  auto operator<=>(const upstream_entry&) const = default;
};

/// \brief All entries at one revision of the store.
struct upstream_list {
  store_revision revision;
  std::vector<upstream_entry> upstreams;
  uint32_t invalid_entries = 0;  ///< Unusable entries that were left out.
  auto operator<=>(const upstream_list&) const = default;
};

}  // namespace radishyard
