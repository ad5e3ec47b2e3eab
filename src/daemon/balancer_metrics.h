// Builds the metrics page of a balancer from the counters of its parts.
#pragma once
#include <string>
#include <vector>

#include "control/handover.h"
#include "daemon/counting_store.h"
#include "peer/peer_link.h"
#include "table/evacuation_table.h"
#include "traffic/traffic_thread.h"

namespace radishyard {

/// \brief The values that the metrics page shows.
struct balancer_statistics {
  std::vector<traffic_report> threads;
  peer_counters peers;
  handover_statistics handovers;
  store_call_counts calls;
  evacuation_table evacuations;
  uint64_t spans_written = 0;
  uint64_t spans_dropped = 0;
};

/// \brief Formats the metrics page in the exposition format of Prometheus.
/// \sa docs/observing.md for names and units.
std::string BalancerMetrics(const balancer_statistics& statistics);

}  // namespace radishyard
