// Counts the decisions of admission control and reports them: a summary line a
// second in the log while there is overload, and metrics.
#pragma once
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/load/admission.h"
#include "observe/metrics.h"

namespace radishyard {

/// \brief Decisions on openings, by admission_action.
using action_counts = std::array<uint64_t, kAdmissionActionCount>;

/// \brief Decisions on the openings to one service.
struct service_decisions {
  std::map<uint8_t, action_counts> by_priority;  ///< Since the start.
  /// `by_priority` at the last summary line.
  std::map<uint8_t, action_counts> reported;
  bool was_limited = false;  ///< The last summary showed overload.
  auto operator<=>(const service_decisions&) const = default;
};

/// \brief Decisions by service.
struct admission_report {
  std::map<std::string, service_decisions> services;
  time_point reported_at{};  ///< When the last summary lines were made.
  auto operator<=>(const admission_report&) const = default;
};

/// \brief Counts a decision.
void RecordDecision(admission_report& report, const std::string& service,
                    uint8_t priority, admission_action action);

/// \brief One summary line: the inputs of the threshold and the decisions since
/// the last line.
struct admission_summary {
  std::string service;
  bool is_known = false;  ///< A recent load is known.
  overload_evidence evidence;
  uint64_t pressure_percent = 0;  ///< Of a slot.
  uint64_t admitted_percent = 100;
  /// The decisions as text, such as "p1:40/0/0 p2:30/2/11": for each priority
  /// the openings placed, delayed and refused.
  std::string decisions;
  auto operator<=>(const admission_summary&) const = default;
};

/// \brief Makes the summary lines that are due: at most one a second for each
/// service, while it is overloaded and once after.
std::vector<admission_summary> TakeSummaries(
    admission_report& report, const service_admissions& admissions,
    time_point now);

/// \brief Logs summaries as the event "admission".
void LogSummaries(const std::vector<admission_summary>& summaries);

/// \brief Adds the decisions and thresholds to the metrics page. Adds nothing
/// where admission control is not enabled.
void AddAdmissionMetrics(metrics_page& page, const admission_report& report,
                         const service_admissions& admissions, time_point now);

}  // namespace radishyard
