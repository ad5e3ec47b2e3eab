// One table per kind of counter, so that a new field is one new line.
#include "daemon/balancer_metrics.h"

#include <array>

#include "observe/metrics.h"

namespace radishyard {
namespace {

template <typename T>
struct counter_row {
  const char* name;
  const char* help;
  uint64_t T::*field;
};

using traffic_row = counter_row<traffic_counters>;
using peer_row = counter_row<peer_counters>;
using handover_row = counter_row<handover_totals>;
using call_row = counter_row<store_calls>;

constexpr std::array kTrafficRows{
    traffic_row{"packets", "Datagrams received.", &traffic_counters::packets},
    traffic_row{"malformed", "Dropped: no valid envelope or packet.",
                &traffic_counters::malformed},
    traffic_row{"untrusted", "Dropped: sender is neither fabric nor balancer.",
                &traffic_counters::untrusted},
    traffic_row{"no_service", "Dropped: of no service.",
                &traffic_counters::no_service},
    traffic_row{"no_pool", "Dropped: no pool of the service is reachable.",
                &traffic_counters::no_pool},
    traffic_row{"forwarded", "Packets sent to another balancer.",
                &traffic_counters::forwarded},
    traffic_row{"hop_limit", "Dropped after too many balancers.",
                &traffic_counters::hop_limit},
    traffic_row{"placed", "Openings placed on an upstream.",
                &traffic_counters::placed},
    traffic_row{"queued", "Openings that had to wait.",
                &traffic_counters::queued},
    traffic_row{"refused", "Openings refused as not run.",
                &traffic_counters::refused},
    traffic_row{"replaced", "Second placements of openings.",
                &traffic_counters::replaced},
    traffic_row{"passed", "Waiting openings passed to another pool.",
                &traffic_counters::passed},
    traffic_row{"adopted", "Flows learned from others.",
                &traffic_counters::adopted},
    traffic_row{"witness_asked", "Packets of unknown flows sent to witnesses.",
                &traffic_counters::witness_asked},
    traffic_row{"witness_answered", "Questions of others answered.",
                &traffic_counters::witness_answered},
    traffic_row{"stale_answers", "Dropped: upstream no longer has the flow.",
                &traffic_counters::stale_answers},
    traffic_row{"duplicates", "Dropped: a UDP request seen before.",
                &traffic_counters::duplicates},
    traffic_row{"unsafe_withheld", "Dropped: no lease for unsafe work.",
                &traffic_counters::unsafe_withheld},
    traffic_row{"send_failed", "Dropped: the socket took no more.",
                &traffic_counters::send_failed}};

constexpr std::array kPeerRows{
    peer_row{"messages_sent", "Messages to balancers.",
             &peer_counters::messages_sent},
    peer_row{"bytes_sent", "Bytes to balancers.", &peer_counters::bytes_sent},
    peer_row{"messages_received", "Messages from balancers.",
             &peer_counters::messages_received},
    peer_row{"bytes_received", "Bytes from balancers.",
             &peer_counters::bytes_received},
    peer_row{"malformed", "Frames not decoded.", &peer_counters::malformed},
    peer_row{"overflows", "Links dropped for a full send queue.",
             &peer_counters::overflows}};

constexpr std::array kHandoverRows{
    handover_row{"pools", "Hand-overs finished.", &handover_totals::pools},
    handover_row{"flows", "Flows handed over.", &handover_totals::flows},
    handover_row{"bytes", "Bytes of hand-overs.", &handover_totals::bytes}};

constexpr std::array kCallRows{
    call_row{"get", "", &store_calls::gets},
    call_row{"list", "", &store_calls::lists},
    call_row{"put", "", &store_calls::puts},
    call_row{"watch", "", &store_calls::watches},
    call_row{"list_vms", "", &store_calls::vm_lists}};

double Number(uint64_t value) { return static_cast<double>(value); }

metric_labels ThreadLabel(size_t thread) {
  return {{"thread", std::to_string(thread)}};
}

void AddTraffic(const std::vector<traffic_report>& threads,
                metrics_page& page) {
  for (const traffic_row& row : kTrafficRows) {
    page.BeginMetric(metric_kind::kCounter,
                     std::string("radishyard_traffic_") + row.name + "_total",
                     row.help);
    for (size_t i = 0; i < threads.size(); ++i)
      page.AddSample(ThreadLabel(i), Number(threads[i].counters.*row.field));
  }
  page.BeginMetric(metric_kind::kGauge, "radishyard_open_flows",
                   "Flows open now.");
  for (size_t i = 0; i < threads.size(); ++i)
    page.AddSample(ThreadLabel(i), Number(threads[i].open_flows));
}

template <typename Row, typename T>
void AddCounters(const char* prefix, const Row& rows, const T& counts,
                 metrics_page& page) {
  for (const auto& row : rows) {
    page.BeginMetric(metric_kind::kCounter,
                     std::string(prefix) + row.name + "_total", row.help);
    page.AddSample({}, Number(counts.*row.field));
  }
}

struct pool_row {
  const char* name;
  const char* help;
  uint64_t (*value)(const pool_load&);
};

template <uint32_t upstream_load::*Field>
uint64_t SumOf(const pool_load& load) {
  uint64_t sum = 0;
  for (const upstream_load& up : load.upstreams) sum += up.*Field;
  return sum;
}

constexpr std::array kPoolRows{
    pool_row{"connections", "Connections open at the pool's upstreams.",
             SumOf<&upstream_load::connections>},
    pool_row{"slots", "Requests in progress at the pool's upstreams.",
             SumOf<&upstream_load::slots>},
    pool_row{"queued", "Openings that wait.",
             [](const pool_load& load) -> uint64_t { return load.waiting; }},
    pool_row{
        "free_slots", "Slots free at upstreams that take new work.",
        [](const pool_load& load) -> uint64_t { return load.free_slots; }}};

void AddPools(const std::vector<traffic_report>& threads, metrics_page& page) {
  for (const pool_row& row : kPoolRows) {
    page.BeginMetric(metric_kind::kGauge,
                     std::string("radishyard_pool_") + row.name, row.help);
    for (const traffic_report& report : threads)
      for (const served_pool_load& served : report.loads)
        page.AddSample(
            {{"service", served.name.service}, {"domain", served.name.domain}},
            Number(row.value(served.load)));
  }
}

void AddTimes(const std::vector<traffic_report>& threads, metrics_page& page) {
  traffic_histograms all;
  for (const traffic_report& report : threads) {
    all.opening += report.times.opening;
    all.queue_wait += report.times.queue_wait;
    all.slot_hold += report.times.slot_hold;
  }
  page.BeginMetric(metric_kind::kHistogram, "radishyard_opening_seconds",
                   "From a SYN sent to an upstream to its SYN-ACK.");
  page.AddHistogram({}, all.opening);
  page.BeginMetric(metric_kind::kHistogram, "radishyard_queue_wait_seconds",
                   "From the arrival of an opening to its placement.");
  page.AddHistogram({}, all.queue_wait);
  page.BeginMetric(metric_kind::kHistogram, "radishyard_slot_hold_seconds",
                   "From the placement of a request to its end.");
  page.AddHistogram({}, all.slot_hold);
}

}  // namespace

std::string BalancerMetrics(const balancer_figures& figures) {
  metrics_page page;
  AddTraffic(figures.threads, page);
  AddPools(figures.threads, page);
  AddTimes(figures.threads, page);
  AddCounters("radishyard_peer_", kPeerRows, figures.peers, page);
  AddCounters("radishyard_handover_", kHandoverRows, figures.handovers, page);
  page.BeginMetric(metric_kind::kGauge, "radishyard_handover_longest_seconds",
                   "Longest hand-over.");
  page.AddSample(
      {}, std::chrono::duration<double>(figures.handovers.longest).count());
  page.BeginMetric(metric_kind::kCounter, "radishyard_platform_calls_total",
                   "Calls to the platform's object store.");
  for (const call_row& row : kCallRows)
    page.AddSample({{"call", row.name}}, Number(figures.calls.*row.field));
  page.BeginMetric(metric_kind::kCounter, "radishyard_trace_spans_total",
                   "Spans of traced flows.");
  page.AddSample({{"fate", "written"}}, Number(figures.spans_written));
  page.AddSample({{"fate", "dropped"}}, Number(figures.spans_dropped));
  return page.Text();
}

}  // namespace radishyard
