// Renders the metrics page of a balancer with direct server return.
#include "direct/direct_counters.h"

#include "direct/load/admission_report.h"
#include "direct/spill_over_metrics.h"
#include "observe/metrics.h"

namespace radishyard {
namespace {

void AddCounter(metrics_page& page, std::string_view name,
                std::string_view help, uint64_t value) {
  page.BeginMetric(metric_kind::kCounter, name, help);
  page.AddSample({}, static_cast<double>(value));
}

void AddGauge(metrics_page& page, std::string_view name, std::string_view help,
              double value) {
  page.BeginMetric(metric_kind::kGauge, name, help);
  page.AddSample({}, value);
}

/// Adds a gauge with one sample for each upstream that is still registered.
template <typename Value>
void AddUpstreamGauge(metrics_page& page, const forwarding_state& state,
                      std::string_view name, std::string_view help,
                      Value value) {
  page.BeginMetric(metric_kind::kGauge, name, help);
  for (const auto& [id, known] : state.directory.upstreams) {
    if (known.phase == upstream_phase::kDeregistered) continue;
    page.AddSample({{"upstream", ToHex(id)}, {"service", known.entry.service}},
                   value(known));
  }
}

/// Adds which domains are evacuated, if evacuations are honoured.
void AddEvacuations(metrics_page& page, const direct_counters& counters,
                    const evacuation_set& evacuations, time_point now) {
  AddCounter(page, "radishyard_evacuation_reads_total",
             "Reads of the evacuation requests.", counters.evacuation_reads);
  AddGauge(
      page, "radishyard_evacuations_age_seconds",
      "Time since the evacuation requests were last confirmed.",
      std::chrono::duration<double>(now - evacuations.confirmed_at).count());
  page.BeginMetric(metric_kind::kGauge, "radishyard_evacuated",
                   "Failure domains whose upstreams get no new flows.");
  for (const std::string& domain : evacuations.list.domains)
    page.AddSample({{"domain", domain}}, 1);
}

/// Adds the counters of the limit of openings on cold upstreams.
void AddStartMetrics(metrics_page& page, const cold_starts& starts) {
  const start_counters& counters = starts.counters;
  page.BeginMetric(metric_kind::kCounter, "radishyard_start_claims_total",
                   "Claims of grants on cold upstreams, by outcome.");
  page.AddSample({{"outcome", "won"}},
                 static_cast<double>(counters.claims_won));
  page.AddSample({{"outcome", "lost"}},
                 static_cast<double>(counters.claims_lost));
  page.AddSample({{"outcome", "refused"}},
                 static_cast<double>(counters.claims_refused));
  page.AddSample({{"outcome", "unknown"}},
                 static_cast<double>(counters.claims_unknown));
  AddCounter(page, "radishyard_start_claims_deleted_total",
             "Claims deleted, own ones and orphans.", counters.claims_deleted);
  AddCounter(page, "radishyard_start_requests_sent_total",
             "Requests for grants sent to other balancers.",
             counters.requests_sent);
  AddCounter(page, "radishyard_start_requests_received_total",
             "Requests for grants from other balancers.",
             counters.requests_received);
  AddCounter(page, "radishyard_start_openings_granted_total",
             "Openings on cold upstreams granted here, also to itself.",
             counters.openings_granted);
  AddCounter(page, "radishyard_start_openings_received_total",
             "Openings on cold upstreams granted by other balancers.",
             counters.openings_received);
  AddCounter(page, "radishyard_start_openings_placed_total",
             "Openings placed on cold upstreams under a grant.",
             counters.openings_placed);
}

void AddSilenceCounters(metrics_page& page, const silence_counters& silences) {
  AddCounter(page, "radishyard_silence_notices_sent_total",
             "Notices that an upstream leaves data unanswered.", silences.sent);
  AddCounter(page, "radishyard_silence_notices_received_total",
             "Upstreams that other balancers called silent.",
             silences.received);
  AddCounter(page, "radishyard_silence_notices_contradicted_total",
             "Of these, upstreams that had answered here since.",
             silences.contradicted);
  AddCounter(page, "radishyard_silence_unproven_packets_total",
             "Packets to upstreams that are silent here, but perhaps only by "
             "losses on the way of one caller or of this balancer.",
             silences.unproven);
}

/// Adds what is observed of each upstream that is still registered.
void AddUpstreamGauges(metrics_page& page, const forwarding_state& state) {
  AddUpstreamGauge(page, state, "radishyard_upstream_flows",
                   "Open flows seen here, by upstream.",
                   [](const known_upstream& u) { return u.stats.flows; });
  AddUpstreamGauge(
      page, state, "radishyard_upstream_waiting",
      "Requests without an acknowledged answer, by upstream.",
      [](const known_upstream& u) { return u.stats.pending_requests; });
  AddUpstreamGauge(
      page, state, "radishyard_upstream_answer_seconds",
      "Smoothed time to the first acknowledged answer.",
      [](const known_upstream& u) { return u.stats.mean_response_s; });
  AddUpstreamGauge(page, state, "radishyard_upstream_unanswered",
                   "Openings and repeated data since the last sign of life.",
                   [](const known_upstream& u) { return u.stats.unanswered; });
}

}  // namespace

std::string RenderMetricsPage(const direct_counters& counters,
                              const forwarding_state& state, time_point now) {
  metrics_page page;
  page.BeginMetric(metric_kind::kCounter, "radishyard_packets_total",
                   "Callers' packets by what decided on them.");
  for (size_t i = 0; i < kVerdictReasonCount; ++i)
    page.AddSample({{"reason", std::string(ToName(verdict_reason(i)))}},
                   static_cast<double>(counters.verdicts[i]));
  AddCounter(page, "radishyard_malformed_total",
             "Datagrams that are no packet.", counters.malformed);
  AddCounter(page, "radishyard_send_failures_total",
             "Datagrams that the kernel did not take.", counters.send_failures);
  AddCounter(page, "radishyard_opening_copies_total",
             "Openings that a caller repeated.",
             counters.opening_retransmissions);
  AddCounter(page, "radishyard_registry_reads_total",
             "Readings of the registry.", counters.registry_reads);
  AddCounter(page, "radishyard_store_returns_total",
             "Returns of the platform's store from an earlier copy, by the "
             "lists in use.",
             counters.store_returns);
  AddCounter(page, "radishyard_older_lists_total",
             "Of these, lists dropped as older than the one known.",
             counters.older_lists);
  AddCounter(page, "radishyard_tables_taken_total",
             "Versions of the table taken.", counters.tables_applied);
  AddCounter(page, "radishyard_entries_refused_total",
             "Entries of the registry and rows of the table that could not be "
             "used, counted at each reading.",
             counters.invalid_entries);
  AddCounter(page, "radishyard_platform_losses_total",
             "Times that a reading of the platform began to fail.",
             counters.platform_losses);
  AddSilenceCounters(page, state.silences);
  AddStartMetrics(page, state.starts);
  AddGauge(page, "radishyard_table_version", "Version of the table in force.",
           static_cast<double>(state.table.version));
  AddGauge(
      page, "radishyard_table_age_seconds",
      "Time since the table was last known to be the current one.",
      std::chrono::duration<double>(now - counters.table_confirmed_at).count());
  AddGauge(
      page, "radishyard_registry_age_seconds",
      "Age of what is known of the upstreams.",
      std::chrono::duration<double>(now - state.directory.read_at).count());
  AddGauge(page, "radishyard_flows", "Open flows seen here.",
           static_cast<double>(state.tracker.flows.size()));
  AddAdmissionMetrics(page, state.admission_decisions, state.admissions, now);
  page.BeginMetric(metric_kind::kHistogram, "radishyard_confirm_seconds",
                   "From an opening to the caller's next packet.");
  page.AddHistogram({}, state.tracker.confirm_times);
  page.BeginMetric(metric_kind::kHistogram, "radishyard_answer_seconds",
                   "From a request to the acknowledgement of its answer.");
  page.AddHistogram({}, state.tracker.response_times);
  AddUpstreamGauges(page, state);
  if (state.honours_evacuations)
    AddEvacuations(page, counters, state.evacuations, now);
  AddSpillOverMetrics(page, state, now);
  return page.Text();
}

}  // namespace radishyard
