// Renders the metrics of loads and shares.
#include "direct/spill_over_metrics.h"

namespace radishyard {
namespace {

/// Adds a gauge with one sample for each service and domain.
template <typename Value>
void AddInputGauge(metrics_page& page, const spill_over_state& spill,
                   std::string_view name, std::string_view help, Value value) {
  page.BeginMetric(metric_kind::kGauge, name, help);
  for (const service_shares& s : spill.services)
    for (const spill_input& input : s.inputs)
      page.AddSample({{"service", s.service}, {"domain", input.domain}},
                     value(input));
}

}  // namespace

void AddSpillOverMetrics(metrics_page& page, const forwarding_state& state,
                         time_point now) {
  const spill_over_state& spill = state.spill;
  if (!spill.is_enabled) return;
  page.BeginMetric(metric_kind::kGauge, "radishyard_domain_share",
                   "Share of a service's new flows that a domain gets.");
  for (const service_shares& s : spill.services)
    for (const domain_share& share : s.shares)
      page.AddSample({{"service", s.service}, {"domain", share.domain}},
                     share.share);
  AddInputGauge(page, spill, "radishyard_domain_demand",
                "Slots that a domain's callers need, wherever placed.",
                [](const spill_input& i) { return i.demand; });
  AddInputGauge(page, spill, "radishyard_domain_failure_share",
                "Share of the requests that fail on a domain's upstreams.",
                [](const spill_input& i) { return i.failure_share; });
  page.BeginMetric(metric_kind::kGauge, "radishyard_domain_utilization",
                   "Requests in service or queued for each usable slot.");
  for (const service_load& l : state.loads.loads)
    page.AddSample({{"service", l.service}, {"domain", l.domain}},
                   l.slots > 0 ? l.busy / l.slots : 0);
  page.BeginMetric(metric_kind::kGauge, "radishyard_domain_load_age_seconds",
                   "Age of the load of a domain's upstreams.");
  for (const service_load& l : state.loads.loads)
    page.AddSample({{"service", l.service}, {"domain", l.domain}},
                   std::chrono::duration<double>(now - l.measured_at).count());
  page.BeginMetric(metric_kind::kCounter, "radishyard_domain_openings_total",
                   "Openings placed on a domain's upstreams.");
  for (const auto& [key, cell] : spill.meter.cells)
    page.AddSample({{"service", key.first}, {"domain", key.second}},
                   static_cast<double>(cell.openings));
}

}  // namespace radishyard
