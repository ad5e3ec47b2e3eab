// The commands `status` and `flows`: the table versions that balancers have
// applied, and the flows that they have open.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ctl/blocking_store.h"
#include "ctl/command_result.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief The status page of one balancer, or the reason why there is none.
struct balancer_page {
  std::optional<std::string> body;
  std::string reason;  ///< Set if there is no body.
};

/// \brief Fetches GET /status from balancers. Returns one page per address, in
/// the same order.
using page_fetcher =
    std::function<std::vector<balancer_page>(const std::vector<endpoint>&)>;

/// \brief Compares the versions of all services and evacuations in the store
/// with those that each balancer of the rosters has applied.
/// \returns kDone if every balancer that responds has the store's versions;
/// kLagging if one has an older version, or if none responds; kUnavailable if
/// the platform does not respond; kFindings if an evacuation is malformed.
command_result ReportStatus(blocking_store& store, const page_fetcher& fetch);

/// \brief Reports the sums of flows and pool counts over all balancers that
/// respond.
command_result ReportFlows(blocking_store& store, const page_fetcher& fetch);

}  // namespace radishyard
