// Counts, limits, ramp, health and speed of one upstream at the owner of its
// pool.
#pragma once
#include <cstdint>

#include "base/time.h"
#include "pool/upstream_health.h"
#include "pool/upstream_speed.h"

namespace radishyard {

/// \brief An upstream as the owner of its pool counts it.
///
/// Invariant: A flow is counted either as known (this owner has a record of it)
/// or as inherited (a previous owner reported it). The sum of both counts
/// against the limits.
struct pool_upstream {
  uint32_t address = 0;
  uint32_t weight = 0;
  uint32_t max_slots = 0;
  uint32_t max_connections = 0;
  bool leaving = false;  ///< Marked leaving in the table, or removed from it.
  uint32_t connections = 0;  ///< Open flows that this owner has records of.
  uint32_t slots = 0;        ///< Requests in progress with a record here.
  /// Open flows that a previous owner reported and that have no record here.
  uint32_t inherited_connections = 0;
  /// Requests in progress that a previous owner reported, without record here.
  uint32_t inherited_slots = 0;
  bool joining = false;                    ///< Marked joining in the table.
  time_point ramp_start{};                 ///< Start of the last ramp.
  uint32_t connections_at_ramp_start = 0;  ///< UsedConnections() at that time.
  duration ramp_length{};                  ///< Zero if there was no ramp.
  upstream_health health;
  upstream_speed speed;

  /// \brief Known and inherited open flows.
  uint32_t UsedConnections() const {
    return connections + inherited_connections;
  }
  /// \brief Known and inherited requests in progress.
  uint32_t UsedSlots() const { return slots + inherited_slots; }

  /// \brief Elapsed part of the ramp, from 0 to 1; 1 if there is no ramp.
  double RampProgress(time_point now) const {
    if (now >= ramp_start + ramp_length) return 1;
    return std::chrono::duration<double>(now - ramp_start) / ramp_length;
  }
};

}  // namespace radishyard
