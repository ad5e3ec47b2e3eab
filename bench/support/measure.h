// The measurements of the capacity benchmark. Each function returns quantities
// at three or more sizes.
#pragma once
#include <vector>

#include "support/line_fit.h"

namespace radishyard {

/// \brief Which sizes are measured. kQuick is for tests and ends within
/// 30 s.
enum class bench_scale { kQuick, kFull };

/// \brief Measures bytes, messages and processor time of heartbeats and their
/// replies by the number of peers, between controllers that are connected over
/// loopback.
std::vector<measurement> MeasurePeers(bench_scale scale);

/// \brief Measures digest, push, adoption and routing view by the size of the
/// table, and the propagation of one edit by the number of balancers.
std::vector<measurement> MeasureTable(bench_scale scale);

/// \brief Measures the memory of the table, the rosters, the routing view and a
/// whole control thread, and the processor time of an idle control thread.
std::vector<measurement> MeasureControlState(bench_scale scale);

/// \brief Measures the recomputation of pool ownership after a change of the
/// roster.
std::vector<measurement> MeasureOwnership(bench_scale scale);

/// \brief Measures handover, memory and the cost of a forwarding decision by
/// the number of open flows.
std::vector<measurement> MeasureFlows(bench_scale scale);

}  // namespace radishyard
