// Makes the summary lines and metrics of admission control.
#include "direct/load/admission_report.h"

#include <string_view>
#include <utility>

#include "observe/log.h"

namespace radishyard {
namespace {

constexpr duration kSummaryInterval = 1s;
constexpr double kPercent = 100;
constexpr std::array<std::string_view, kAdmissionActionCount> kActionNames{
    "placed", "delayed", "refused"};

uint64_t ToPercent(double part) {
  return static_cast<uint64_t>(part * kPercent);
}

/// Formats the decisions since the last summary.
std::string FormatDecisions(const service_decisions& decisions) {
  std::string text;
  for (const auto& [priority, counts] : decisions.by_priority) {
    const auto before = decisions.reported.find(priority);
    text += (text.empty() ? "p" : " p") + std::to_string(priority);
    for (size_t i = 0; i < counts.size(); ++i) {
      const uint64_t reported =
          before == decisions.reported.end() ? 0 : before->second[i];
      text += (i == 0 ? ":" : "/") + std::to_string(counts[i] - reported);
    }
  }
  return text;
}

admission_summary Summarize(const std::string& service,
                            const service_admission& admission,
                            const service_decisions& decisions,
                            time_point now) {
  admission_summary summary{.service = service,
                            .is_known = IsRecent(admission, now),
                            .evidence = admission.evidence,
                            .pressure_percent = ToPercent(admission.pressure),
                            .admitted_percent = ToPercent(admission.admitted),
                            .decisions = FormatDecisions(decisions)};
  summary.evidence.age += now - admission.updated_at;
  return summary;
}

}  // namespace

void RecordDecision(admission_report& report, const std::string& service,
                    uint8_t priority, admission_action action) {
  ++report.services[service].by_priority[priority][static_cast<size_t>(action)];
}

std::vector<admission_summary> TakeSummaries(
    admission_report& report, const service_admissions& admissions,
    time_point now) {
  if (now - report.reported_at < kSummaryInterval) return {};
  report.reported_at = now;
  std::vector<admission_summary> summaries;
  for (auto& [service, decisions] : report.services) {
    const auto found = admissions.find(service);
    if (found == admissions.end()) continue;
    const bool is_limited = IsOverloaded(found->second, now);
    if (is_limited || decisions.was_limited)
      summaries.push_back(Summarize(service, found->second, decisions, now));
    decisions.was_limited = is_limited;
    decisions.reported = decisions.by_priority;
  }
  return summaries;
}

void LogSummaries(const std::vector<admission_summary>& summaries) {
  for (const admission_summary& s : summaries)
    Log(severity::kInfo, "admission",
        {{"service", s.service},
         {"load", s.is_known ? "known" : "unknown"},
         {"age_ms", static_cast<uint64_t>(ToMs(s.evidence.age))},
         {"slots", static_cast<uint64_t>(s.evidence.slots)},
         {"busy_percent", ToPercent(s.evidence.utilization)},
         {"failures_per_s", static_cast<uint64_t>(s.evidence.failures_per_s)},
         {"pressure_percent", s.pressure_percent},
         {"admitted_percent", s.admitted_percent},
         {"placed_delayed_refused", s.decisions}});
}

void AddAdmissionMetrics(metrics_page& page, const admission_report& report,
                         const service_admissions& admissions, time_point now) {
  if (admissions.empty()) return;
  page.BeginMetric(metric_kind::kCounter, "radishyard_admissions_total",
                   "Openings by priority and decision of admission control.");
  for (const auto& [service, decisions] : report.services)
    for (const auto& [priority, counts] : decisions.by_priority)
      for (size_t i = 0; i < counts.size(); ++i)
        page.AddSample({{"service", service},
                        {"priority", std::to_string(priority)},
                        {"decision", std::string(kActionNames[i])}},
                       static_cast<double>(counts[i]));
  page.BeginMetric(metric_kind::kGauge, "radishyard_admission_admitted",
                   "Admitted part of the offered work; 1 without overload.");
  for (const auto& [service, admission] : admissions)
    page.AddSample({{"service", service}},
                   IsOverloaded(admission, now) ? admission.admitted : 1);
  page.BeginMetric(metric_kind::kGauge, "radishyard_admission_load_known",
                   "1 while a recent load of the service is known.");
  for (const auto& [service, admission] : admissions)
    page.AddSample({{"service", service}}, IsRecent(admission, now) ? 1 : 0);
}

}  // namespace radishyard
