// Computes the metrics of a replay.
#include "support/replay_metrics.h"

#include <algorithm>
#include <cmath>

namespace radishyard::test {
namespace {

constexpr int64_t kRetryWindowUs = 10'000'000;

bool IsInWindow(const replay_window& v, int64_t us) {
  return us >= v.from_ms * 1000 && us < v.to_ms * 1000;
}

bool IsInGroup(const trace_flow& f, request_group group) {
  if (f.kind != port_kind::kRequest) return false;
  switch (group) {
    case request_group::kShort:
      return !f.is_long;
    case request_group::kUrgent:
      return f.priority == priority_class::kUrgent;
    case request_group::kLong:
      return f.is_long;
    case request_group::kAll:
      return true;
  }
  return false;
}

// Microseconds of [start, end) inside the window.
double OverlapUs(const replay_window& v, int64_t start, int64_t end) {
  const int64_t from = std::max(start, v.from_ms * 1000);
  const int64_t to = std::min(end, v.to_ms * 1000);
  return static_cast<double>(std::max<int64_t>(0, to - from));
}

bool WasExecuted(const trace_flow& f, const flow_outcome& out) {
  return f.kind == port_kind::kRequest && out.started_us >= 0 &&
         out.ended_us > out.started_us;
}

// Percentile of the time from arrival to `event_us`, in milliseconds.
double PercentileMs(const replay_window& v, request_group group,
                    double percentile, int64_t flow_outcome::*event_us) {
  std::vector<int64_t> times_us;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (!IsInGroup(v.trace[i], group) || !IsInWindow(v, v.trace[i].at_us))
      continue;
    if (out.started_us >= 0 && out.*event_us >= 0)
      times_us.push_back(out.*event_us - v.trace[i].at_us);
  }
  if (times_us.empty()) return 0;
  std::sort(times_us.begin(), times_us.end());
  const auto rank = static_cast<size_t>(
      std::ceil(percentile / 100 * static_cast<double>(times_us.size())));
  return static_cast<double>(times_us[std::max<size_t>(rank, 1) - 1]) / 1000;
}

}  // namespace

double WaitMs(const replay_window& v, request_group group, double percentile) {
  return PercentileMs(v, group, percentile, &flow_outcome::started_us);
}

double ResponseTimeMs(const replay_window& v, request_group group,
                      double percentile) {
  return PercentileMs(v, group, percentile, &flow_outcome::ended_us);
}

size_t CountRequests(const replay_window& v, request_group group,
                     flow_outcome::kind what) {
  size_t count = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    if (IsInGroup(v.trace[i], group) && IsInWindow(v, v.trace[i].at_us) &&
        v.result.flows[i].what == what)
      ++count;
  }
  return count;
}

double UsedCapacityShare(const replay_window& v) {
  double work = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (!WasExecuted(v.trace[i], out)) continue;
    work += static_cast<double>(v.trace[i].work_us) *
            OverlapUs(v, out.started_us, out.ended_us) /
            static_cast<double>(out.ended_us - out.started_us);
  }
  return work / (ComputeCapacity(v.setup) * 1000 *
                 static_cast<double>(v.to_ms - v.from_ms));
}

double MaxRefusalDelayMs(const replay_window& v) {
  int64_t max_delay_us = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (out.what == flow_outcome::kind::kRefused)
      max_delay_us = std::max(max_delay_us, out.decided_us - v.trace[i].at_us);
  }
  return static_cast<double>(max_delay_us) / 1000;
}

double MaxWeightImbalance(const replay_window& v) {
  std::vector<double> flows_per_weight(v.setup.table.upstreams.size());
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    const int64_t at_us = v.to_ms * 1000;
    if (out.started_us < 0 || out.started_us > at_us) continue;
    if (out.ended_us < 0 || out.ended_us > at_us)
      flows_per_weight[out.upstream_index] +=
          1.0 / v.setup.table.upstreams[out.upstream_index].weight;
  }
  double sum = 0;
  for (double o : flows_per_weight) sum += o;
  const double mean = sum / static_cast<double>(flows_per_weight.size());
  double max_deviation = 0;
  for (double o : flows_per_weight)
    max_deviation = std::max(max_deviation, std::abs(o / mean - 1));
  return max_deviation;
}

double MaxRetryShare(const replay_window& v) {
  double max_share = 0;
  size_t first_placements = 0;
  size_t retries = 0;
  size_t window_begin = 0;
  const auto& placements = v.result.placements;
  for (size_t i = 0; i < placements.size(); ++i) {
    ++(placements[i].is_retry ? retries : first_placements);
    while (placements[window_begin].at_us <=
           placements[i].at_us - kRetryWindowUs) {
      --(placements[window_begin].is_retry ? retries : first_placements);
      ++window_begin;
    }
    if (placements[i].at_us >= kRetryWindowUs && first_placements > 0)
      max_share =
          std::max(max_share, static_cast<double>(retries) /
                                  static_cast<double>(first_placements));
  }
  return max_share;
}

size_t CountPlacements(const replay_window& v, int upstream_index,
                       port_kind kind) {
  return std::count_if(
      v.result.placements.begin(), v.result.placements.end(),
      [&](const placement& p) {
        return IsInWindow(v, p.at_us) && v.trace[p.flow].kind == kind &&
               (upstream_index < 0 ||
                p.upstream_index == static_cast<size_t>(upstream_index));
      });
}

double CallerSlotShare(const replay_window& v, uint32_t caller) {
  double own_us = 0;
  double total_us = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (!WasExecuted(v.trace[i], out)) continue;
    const double used_us = OverlapUs(v, out.started_us, out.ended_us);
    total_us += used_us;
    if (v.trace[i].caller == caller) own_us += used_us;
  }
  return total_us == 0 ? 0 : own_us / total_us;
}

}  // namespace radishyard::test
