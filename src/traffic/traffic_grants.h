// The values that the control thread and the traffic threads exchange a few
// times a second.
#pragma once
#include <compare>
#include <cstdint>
#include <map>

#include "base/time.h"
#include "pool/pool.h"
#include "traffic/routing_view.h"

namespace radishyard {

/// \brief Leases and loads that the control thread passes to the traffic
/// threads a few times a second.
struct traffic_grants {
  /// End of the lease on non-idempotent requests, for each pool owned here.
  /// After it, none is placed.
  std::map<pool_name, time_point> lease_deadlines;
  /// Free slots of pools of other owners, as reported by these.
  std::map<pool_name, uint32_t> free_slots;
  auto operator<=>(const traffic_grants&) const = default;
};

/// \brief Load of one pool that is served here, for the control thread.
struct served_pool_load {
  pool_name name;
  pool_load load;
};

}  // namespace radishyard
