// An upstream as the owner of its pool counts it.
#pragma once
#include <cstdint>

#include "base/time.h"
#include "pool/upstream_health.h"
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
  bool joining = false;                ///< As the table marks it.
  time_point ramp_from{};              ///< Start of the present ramp.
  uint32_t ramp_connections = 0;       ///< Connections at its start.
  duration ramp{};                     ///< Its length; zero for none.
  upstream_health health;
  upstream_speed speed;

  uint32_t UsedConnections() const {
    return connections + inherited_connections;
  }
  uint32_t UsedSlots() const { return slots + inherited_slots; }

  /// Part of its share that it takes already: 1 after the ramp.
  double RampShare(time_point now) const {
    if (now >= ramp_from + ramp) return 1;
    return std::chrono::duration<double>(now - ramp_from) / ramp;
  }
};

}  // namespace radishyard
