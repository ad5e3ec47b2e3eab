// What control and traffic threads tell each other a few times a second.
#pragma once
#include <compare>
#include <cstdint>
#include <map>

#include "base/time.h"
#include "pool/pool.h"
#include "traffic/routing_view.h"

namespace radishyard {

/// \brief What the control thread allows and tells the traffic threads, a few
/// times a second.
struct traffic_grants {
  /// Until when an own pool may place work that must run at most once.
  std::map<pool_name, time_point> lease_deadlines;
  /// Free slots of pools of others, as their owners reported them.
  std::map<pool_name, uint32_t> free_slots;
  auto operator<=>(const traffic_grants&) const = default;
};

/// \brief Load of one served pool, for the control thread.
struct served_pool_load {
  pool_name name;
  pool_load load;
};

}  // namespace radishyard
