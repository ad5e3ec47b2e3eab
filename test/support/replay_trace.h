// Recorded traces of openings, one JSON object a line, and the seeded
// generators that write those of the two users' workloads.
#pragma once
#include <cstdint>
#include <iosfwd>
#include <vector>

#include "table/service.h"

namespace radishyard::test {

/// \brief One opening of a trace.
struct trace_flow {
  int64_t at_us = 0;
  uint32_t caller = 0;  ///< Address.
  port_kind kind = port_kind::kRequest;
  priority_class priority = priority_class::kNormal;
  int64_t work_us = 0;  ///< Of a request: time at speed 1; of a feed: its life.
  bool is_long = false;
  auto operator<=>(const trace_flow&) const = default;
};

/// \brief Shape of a generated trace. Rates are openings per second.
struct trace_shape {
  uint64_t seed = 1;
  int64_t length_ms = 30'000;
  double rate = 100;  ///< Requests.
  double feed_rate = 0;
  int64_t feed_life_ms = 20'000;
  int64_t work_us = 100'000;  ///< Mean work of a short request.
  double urgent_share = 0.05;
  double long_share = 0.03;  ///< Of requests; `long_factor` times the work.
  double long_factor = 30;
  int64_t peak_from_ms = 0;  ///< Between these the rate is multiplied.
  int64_t peak_to_ms = 0;
  double peak_factor = 1;
  uint32_t callers = 200;
  double greedy_share = 0;  ///< Of requests, opened by one caller.
};

/// \brief Long feeds, notes, urgent alerts and rare sheets.
std::vector<trace_flow> GenerateTrace(const trace_shape& shape);

/// \brief Mean work of a request of `shape`, in microseconds at speed 1.
double MeanWork(const trace_shape& shape);

void WriteTrace(std::ostream& out, const std::vector<trace_flow>& flows);
std::vector<trace_flow> ReadTrace(std::istream& in);

/// \brief `flows` as they come back from their recorded form.
std::vector<trace_flow> Recorded(const std::vector<trace_flow>& flows);

}  // namespace radishyard::test
