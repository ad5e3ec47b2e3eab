// Traces of openings: their stored form, one JSON object per line, and seeded
// generators.
#pragma once
#include <cstdint>
#include <iosfwd>
#include <vector>

#include "table/service.h"

namespace radishyard::test {

/// \brief One opening of a trace.
struct trace_flow {
  int64_t at_us = 0;    ///< Arrival time.
  uint32_t caller = 0;  ///< The caller's address.
  port_kind kind = port_kind::kRequest;
  priority_class priority = priority_class::kNormal;
  int64_t work_us = 0;   ///< A request's time at speed 1, a feed's duration.
  bool is_long = false;  ///< A request with much more work than the others.
  auto operator<=>(const trace_flow&) const = default;
};

/// \brief Shape of a generated trace. Rates are openings per second.
struct trace_shape {
  uint64_t seed = 1;
  int64_t duration_ms = 30'000;
  double request_rate = 100;
  double feed_rate = 0;
  int64_t feed_duration_ms = 20'000;
  int64_t work_us = 100'000;   ///< Mean work of a short request.
  double urgent_share = 0.05;  ///< Share of short requests that are urgent.
  double long_share = 0.03;    ///< Share of requests that are long.
  double long_factor = 30;  ///< Work of a long request relative to a short one.
  /// The request rate is multiplied by `peak_factor` in [peak_from_ms,
  /// peak_to_ms).
  int64_t peak_from_ms = 0;
  int64_t peak_to_ms = 0;
  double peak_factor = 1;
  uint32_t callers = 200;          ///< Number of ordinary callers.
  double greedy_caller_share = 0;  ///< Share of requests sent by one caller.
};

/// \brief Generates the requests and feeds of `shape`, sorted by arrival.
std::vector<trace_flow> GenerateTrace(const trace_shape& shape);

/// \brief Mean work of a request of `shape`, in microseconds at speed 1.
double MeanRequestWorkUs(const trace_shape& shape);

/// \brief Writes each flow as a JSON object on a line of its own.
void WriteTrace(std::ostream& out, const std::vector<trace_flow>& flows);
/// \brief Reads what WriteTrace() wrote; throws if a line is not valid.
std::vector<trace_flow> ReadTrace(std::istream& in);

/// \brief Writes `flows` and reads them again, so that a replay uses exactly
/// the values that a stored trace holds.
std::vector<trace_flow> RoundTripThroughJson(
    const std::vector<trace_flow>& flows);

}  // namespace radishyard::test
