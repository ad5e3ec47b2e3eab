// What the capacity benchmark measures: each function gives quantities at three
// or more sizes.
#pragma once
#include <vector>

#include "support/line_fit.h"

namespace radishyard {

/// \brief How much is measured: kQuick ends within 30 s and is for tests.
enum class extent { kQuick, kFull };

/// \brief Bytes, messages and processor time of heartbeats and their answers by
/// number of peers, through the product's control threads over loopback.
std::vector<measurement> MeasurePeers(extent how_much);

/// \brief Digest, push, adoption and view by size of the table, and the spread
/// of one edit by number of balancers.
std::vector<measurement> MeasureTable(extent how_much);

/// \brief Bytes held by table, rosters, view and a whole control thread, and
/// its processor time while nothing happens.
std::vector<measurement> MeasureControlState(extent how_much);

/// \brief Recomputation of ownership on a roster change.
std::vector<measurement> MeasureOwnership(extent how_much);

/// \brief Hand-over, memory and cost of a decision by open flows.
std::vector<measurement> MeasureFlows(extent how_much);

}  // namespace radishyard
