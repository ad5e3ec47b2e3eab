// The metrics of a balancer: what its parts count, under the names of the
// metrics page.
#pragma once
#include <string>
#include <vector>

#include "control/handover.h"
#include "daemon/counting_store.h"
#include "peer/peer_link.h"
#include "traffic/traffic_thread.h"

namespace radishyard {

/// \brief Everything that the page shows.
struct balancer_figures {
  std::vector<traffic_report> threads;
  peer_counters peers;
  handover_totals handovers;
  store_calls calls;
  uint64_t spans_written = 0;
  uint64_t spans_dropped = 0;
};

/// \brief The page's text in the exposition format of Prometheus.
/// \sa docs/observing.md for names and units.
std::string BalancerMetrics(const balancer_figures& figures);

}  // namespace radishyard
