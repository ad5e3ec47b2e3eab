// A balancer as the others know it.
#pragma once
#include <compare>
#include <cstdint>
#include <string>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief A balancer as seen by other balancers.
struct view_member {
  endpoint peer;       ///< Address for reports (UDP) and snapshots (TCP).
  std::string domain;  ///< Failure domain.
  /// CPU share of the VM, in thousandths of a core. The balancers with the
  /// largest shares read the platform's table and upstream list.
  uint32_t capacity_millicores = 1;
  auto operator<=>(const view_member&) const = default;
};

}  // namespace radishyard
