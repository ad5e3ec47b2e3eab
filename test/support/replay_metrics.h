// Figures drawn from a replay.
#pragma once
#include <cstdint>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

/// \brief A replay with its inputs and a window of time to look at.
struct replay_window {
  const replay_setup& setup;
  const std::vector<trace_flow>& trace;
  const replay_result& result;
  int64_t from_ms = 0;
  int64_t to_ms = 1'000'000;
};

enum class request_group { kShort, kUrgent, kLong, kAll };

/// \brief Wait from the arrival to the start at the upstream, in milliseconds,
/// of the requests of `set` that arrived in the window.
double WaitMs(const replay_window& v, request_group set, double percentile);

/// \brief Time from the arrival to the end of the answer, likewise.
double AnswerMs(const replay_window& v, request_group set, double percentile);

/// \brief Requests of `set` that arrived in the window and ended as `what`.
size_t CountRequests(const replay_window& v, request_group set,
                     flow_outcome::kind what);

/// \brief Work completed by requests in the window over the capacity.
double UsedCapacityShare(const replay_window& v);

/// \brief Longest time to a refusal, in milliseconds.
double MaxRefusalDelayMs(const replay_window& v);

/// \brief Largest deviation of flows open at `to_ms` per unit of weight from
/// their mean, over upstreams.
double MaxWeightImbalance(const replay_window& v);

/// \brief Largest share of second placements on top of first ones in 10 s.
double MaxRetryShare(const replay_window& v);

/// \brief Placements of `kind` at `row` in the window; all rows where `row` is
/// -1.
size_t CountPlacements(const replay_window& v, int row,
                       port_kind kind = port_kind::kRequest);

/// \brief Share of `caller` in the slot time used in the window.
double CallerSlotShare(const replay_window& v, uint32_t caller);

}  // namespace radishyard::test
