// Gauges and counters of loads and shares for the metrics page.
#pragma once
#include "base/time.h"
#include "direct/forward/forwarder.h"
#include "observe/metrics.h"

namespace radishyard {

/// \brief Adds the share, the utilization and the age of the load of each
/// service and domain, and the openings placed there. Adds nothing while the
/// part is off.
void AddSpillOverMetrics(metrics_page& page, const forwarding_state& state,
                         time_point now);

}  // namespace radishyard
