// Metrics computed from a replay.
#pragma once
#include <cstdint>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

/// \brief A replay with its inputs, and the time window that is evaluated.
struct replay_window {
  const replay_setup& setup;
  const std::vector<trace_flow>& trace;
  const replay_result& result;
  int64_t from_ms = 0;
  int64_t to_ms = 1'000'000;
};

/// \brief Requests that a metric covers; feeds belong to none of the groups.
enum class request_group { kShort, kUrgent, kLong, kAll };

/// \brief Percentile of the time from arrival to start at the upstream, in
/// milliseconds, over the requests of `group` that arrived in the window and
/// started; 0 if there are none.
double WaitMs(const replay_window& v, request_group group, double percentile);

/// \brief As WaitMs(), for the time from arrival to the end of the response.
double ResponseTimeMs(const replay_window& v, request_group group,
                      double percentile);

/// \brief Number of requests of `group` that arrived in the window and whose
/// outcome is `what`.
size_t CountRequests(const replay_window& v, request_group group,
                     flow_outcome::kind what);

/// \brief Work that requests completed in the window, as a share of the
/// capacity.
double UsedCapacityShare(const replay_window& v);

/// \brief Longest time from an arrival to its refusal, in milliseconds, over
/// the whole trace.
double MaxRefusalDelayMs(const replay_window& v);

/// \brief Largest relative deviation of an upstream's open flows per unit of
/// weight from the mean over all upstreams, at `to_ms`.
double MaxWeightImbalance(const replay_window& v);

/// \brief Largest ratio of retries to first placements over any 10 s of the
/// replay.
double MaxRetryShare(const replay_window& v);

/// \brief Number of placements of `kind` at an upstream in the window, retries
/// included.
/// \param upstream_index Index in the table; -1 for all upstreams.
size_t CountPlacements(const replay_window& v, int upstream_index,
                       port_kind kind = port_kind::kRequest);

/// \brief Share of the slot time used in the window that `caller` used.
double CallerSlotShare(const replay_window& v, uint32_t caller);

}  // namespace radishyard::test
