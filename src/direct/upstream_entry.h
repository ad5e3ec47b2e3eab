// What the registry tells of one upstream, and one reading of the registry.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/flow_mark.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief An upstream as it registered itself.
struct upstream_entry {
  upstream_id id = 0;
  std::string service;
  endpoint address;    ///< Where its packets go. Reused by others later.
  std::string domain;  ///< Failure domain.
  uint32_t slots = 1;  ///< Requests that it works on at once.
  bool leaving = false;
  duration cold_remaining{};  ///< How much longer it is slow after its start.
  /// Unix time of its start; tells incarnations apart.
  int64_t started_unix_ms = 0;
  auto operator<=>(const upstream_entry&) const = default;
};

/// \brief All upstreams at one revision of the store.
struct upstream_list {
  uint64_t revision = 0;  ///< Of the store; rises with each change.
  std::vector<upstream_entry> upstreams;
  /// Entries left out since they name no upstream.
  uint32_t invalid_entries = 0;
  auto operator<=>(const upstream_list&) const = default;
};

}  // namespace radishyard
