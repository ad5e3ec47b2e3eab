// An upstream as the owner of its pool counts it.
#pragma once
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "pool/upstream_speed.h"

namespace radishyard {

/// \brief An upstream as the owner counts it.
/// Invariant: known and inherited flows are disjoint; their sum is what counts
/// against the limits.
struct pool_upstream {
  uint32_t address = 0;
  uint32_t weight = 0;
  uint32_t max_slots = 0;
  uint32_t max_connections = 0;
  bool leaving = false;      ///< Marked leaving, or gone from the table.
  uint32_t connections = 0;  ///< Known open flows.
  uint32_t slots = 0;        ///< Known requests in progress.
  uint32_t inherited_connections = 0;  ///< Reported by a previous owner.
  uint32_t inherited_slots = 0;        ///< Reported by a previous owner.
  time_point inherited_at;
  std::optional<time_point> joined_at;  ///< Set while the upstream ramps up.
  uint32_t failures = 0;       ///< Unanswered or shed since the last answer.
  time_point ejected_until{};  ///< No new flow before.
  upstream_speed speed;

  uint32_t UsedConnections() const {
    return connections + inherited_connections;
  }
  uint32_t UsedSlots() const { return slots + inherited_slots; }
};

}  // namespace radishyard
