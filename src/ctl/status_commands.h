// The commands `status` and `flows`: what is in force on which balancer.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ctl/blocking_store.h"
#include "ctl/command_result.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief A page of one balancer; without a body, the reason.
struct balancer_page {
  std::optional<std::string> body;
  std::string reason;
};

/// \brief Fetches GET /status of all balancers at once; the answers stand in
/// the order of the addresses.
using page_fetcher =
    std::function<std::vector<balancer_page>(const std::vector<endpoint>&)>;

/// \brief Compares the store's versions with those in force on each balancer of
/// the rosters.
/// \returns kDone if every balancer that answers has them; kLagging if one has
/// an older version, or none answers; kUnavailable if the platform does not
/// answer.
command_result ReportStatus(blocking_store& store, const page_fetcher& fetch);

/// \brief Sums up flows and pools over all balancers that answer.
command_result ReportFlows(blocking_store& store, const page_fetcher& fetch);

}  // namespace radishyard
