// Figures drawn from a replay.
#include "support/replay_metrics.h"

#include <algorithm>
#include <cmath>

namespace radishyard::test {
namespace {

constexpr int64_t kRetryWindowUs = 10'000'000;

bool InWindow(const replay_window& v, int64_t us) {
  return us >= v.from_ms * 1000 && us < v.to_ms * 1000;
}

bool InSet(const trace_flow& f, request_group set) {
  if (f.kind != port_kind::kRequest) return false;
  switch (set) {
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
double Overlap(const replay_window& v, int64_t start, int64_t end) {
  const int64_t from = std::max(start, v.from_ms * 1000);
  const int64_t to = std::min(end, v.to_ms * 1000);
  return static_cast<double>(std::max<int64_t>(0, to - from));
}

bool Ran(const trace_flow& f, const flow_outcome& out) {
  return f.kind == port_kind::kRequest && out.started_us >= 0 &&
         out.ended_us > out.started_us;
}

// Of the time from the arrival to `instant`, in milliseconds.
double Percentile(const replay_window& v, request_group set, double percentile,
                  int64_t flow_outcome::*instant) {
  std::vector<int64_t> times;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (!InSet(v.trace[i], set) || !InWindow(v, v.trace[i].at_us)) continue;
    if (out.started_us >= 0 && out.*instant >= 0)
      times.push_back(out.*instant - v.trace[i].at_us);
  }
  if (times.empty()) return 0;
  std::sort(times.begin(), times.end());
  const auto at = static_cast<size_t>(
      std::ceil(percentile / 100 * static_cast<double>(times.size())));
  return static_cast<double>(times[std::max<size_t>(at, 1) - 1]) / 1000;
}

}  // namespace

double WaitMs(const replay_window& v, request_group set, double percentile) {
  return Percentile(v, set, percentile, &flow_outcome::started_us);
}

double AnswerMs(const replay_window& v, request_group set, double percentile) {
  return Percentile(v, set, percentile, &flow_outcome::ended_us);
}

size_t CountRequests(const replay_window& v, request_group set,
                     flow_outcome::kind what) {
  size_t count = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    if (InSet(v.trace[i], set) && InWindow(v, v.trace[i].at_us) &&
        v.result.flows[i].what == what)
      ++count;
  }
  return count;
}

double UsedCapacityShare(const replay_window& v) {
  double work = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (!Ran(v.trace[i], out)) continue;
    work += static_cast<double>(v.trace[i].work_us) *
            Overlap(v, out.started_us, out.ended_us) /
            static_cast<double>(out.ended_us - out.started_us);
  }
  return work / (ComputeCapacity(v.setup) * 1000 *
                 static_cast<double>(v.to_ms - v.from_ms));
}

double MaxRefusalDelayMs(const replay_window& v) {
  int64_t latest = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (out.what == flow_outcome::kind::kRefused)
      latest = std::max(latest, out.decided_us - v.trace[i].at_us);
  }
  return static_cast<double>(latest) / 1000;
}

double MaxWeightImbalance(const replay_window& v) {
  std::vector<double> open(v.setup.table.upstreams.size());
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    const int64_t at = v.to_ms * 1000;
    if (out.started_us < 0 || out.started_us > at) continue;
    if (out.ended_us < 0 || out.ended_us > at)
      open[out.row] += 1.0 / v.setup.table.upstreams[out.row].weight;
  }
  double sum = 0;
  for (double o : open) sum += o;
  const double mean = sum / static_cast<double>(open.size());
  double worst = 0;
  for (double o : open) worst = std::max(worst, std::abs(o / mean - 1));
  return worst;
}

double MaxRetryShare(const replay_window& v) {
  double worst = 0;
  size_t first = 0;
  size_t second = 0;
  size_t start = 0;
  const auto& all = v.result.placements;
  for (size_t i = 0; i < all.size(); ++i) {
    ++(all[i].again ? second : first);
    while (all[start].at_us <= all[i].at_us - kRetryWindowUs) {
      --(all[start].again ? second : first);
      ++start;
    }
    if (all[i].at_us >= kRetryWindowUs && first > 0)
      worst = std::max(
          worst, static_cast<double>(second) / static_cast<double>(first));
  }
  return worst;
}

size_t CountPlacements(const replay_window& v, int row, port_kind kind) {
  return std::count_if(v.result.placements.begin(), v.result.placements.end(),
                       [&](const placement& p) {
                         return InWindow(v, p.at_us) &&
                                v.trace[p.flow].kind == kind &&
                                (row < 0 || p.row == static_cast<size_t>(row));
                       });
}

double CallerSlotShare(const replay_window& v, uint32_t caller) {
  double own = 0;
  double all = 0;
  for (size_t i = 0; i < v.trace.size(); ++i) {
    const flow_outcome& out = v.result.flows[i];
    if (!Ran(v.trace[i], out)) continue;
    const double used = Overlap(v, out.started_us, out.ended_us);
    all += used;
    if (v.trace[i].caller == caller) own += used;
  }
  return all == 0 ? 0 : own / all;
}

}  // namespace radishyard::test
