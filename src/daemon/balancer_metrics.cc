// The metrics are listed in one array for each struct of counters, so that a
// new counter needs one new entry only.
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
using handover_row = counter_row<handover_statistics>;
using call_row = counter_row<store_call_counts>;

constexpr std::array kTrafficRows{
    traffic_row{"packets", "Datagrams received.", &traffic_counters::packets},
    traffic_row{"malformed", "Dropped: no valid Geneve header or packet.",
                &traffic_counters::malformed},
    traffic_row{"untrusted",
                "Dropped: the sender is neither fabric nor balancer.",
                &traffic_counters::untrusted},
    traffic_row{"no_service",
                "Dropped: neither sent to a service nor by an upstream.",
                &traffic_counters::no_service},
    traffic_row{"no_pool", "Dropped: no pool of the service is reachable.",
                &traffic_counters::no_pool},
    traffic_row{"forwarded", "Packets sent to another balancer.",
                &traffic_counters::forwarded},
    traffic_row{"hop_limit",
                "Dropped after the maximum number of forwarding steps.",
                &traffic_counters::hop_limit},
    traffic_row{"placed", "Openings placed on an upstream.",
                &traffic_counters::placed},
    traffic_row{"queued", "Openings that had to wait for an upstream.",
                &traffic_counters::queued},
    traffic_row{"refused", "Openings refused before execution.",
                &traffic_counters::refused},
    traffic_row{"refused_evacuated",
                "Openings refused because all domains are evacuated.",
                &traffic_counters::refused_evacuated},
    traffic_row{"replaced",
                "Openings placed again after no response or a reset by the "
                "upstream.",
                &traffic_counters::replaced},
    traffic_row{"passed", "Waiting openings passed to another pool.",
                &traffic_counters::passed},
    traffic_row{"adopted",
                "Flows recorded from return traffic, lookups or a handover.",
                &traffic_counters::adopted},
    traffic_row{"witness_asked", "Upstream lookups sent for unknown flows.",
                &traffic_counters::witness_asked},
    traffic_row{"witness_answered", "Upstream lookups replied to.",
                &traffic_counters::witness_answered},
    traffic_row{
        "stale_answers",
        "Dropped: responses of an upstream that does not serve the flow "
        "now, or that would be joined with parts of another response.",
        &traffic_counters::stale_answers},
    traffic_row{"duplicates", "Dropped: duplicates of UDP requests.",
                &traffic_counters::duplicates},
    traffic_row{
        "unsafe_withheld",
        "Dropped: no lease for a non-idempotent request, no roster that names "
        "the owner, or not refused because it may have been executed.",
        &traffic_counters::unsafe_withheld},
    traffic_row{"send_failed", "Dropped: the socket returned an error.",
                &traffic_counters::send_failed}};

constexpr std::array kPeerRows{
    peer_row{"messages_sent", "Messages sent to balancers.",
             &peer_counters::messages_sent},
    peer_row{"bytes_sent", "Bytes sent to balancers.",
             &peer_counters::bytes_sent},
    peer_row{"messages_received", "Messages received from balancers.",
             &peer_counters::messages_received},
    peer_row{"bytes_received", "Bytes received from balancers.",
             &peer_counters::bytes_received},
    peer_row{"malformed", "Frames that could not be decoded.",
             &peer_counters::malformed},
    peer_row{"overflows", "Links closed because their send queue was full.",
             &peer_counters::overflows}};

constexpr std::array kHandoverRows{
    handover_row{"pools", "Handovers finished.", &handover_statistics::pools},
    handover_row{"flows", "Flows handed over.", &handover_statistics::flows},
    handover_row{"bytes", "Bytes sent in handovers.",
                 &handover_statistics::bytes}};

constexpr std::array kCallRows{
    call_row{"get", "", &store_call_counts::gets},
    call_row{"list", "", &store_call_counts::lists},
    call_row{"put", "", &store_call_counts::puts},
    call_row{"watch", "", &store_call_counts::watches},
    call_row{"list_vms", "", &store_call_counts::vm_lists}};

double ToDouble(uint64_t value) { return static_cast<double>(value); }

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
      page.AddSample(ThreadLabel(i), ToDouble(threads[i].counters.*row.field));
  }
  page.BeginMetric(metric_kind::kGauge, "radishyard_open_flows", "Open flows.");
  for (size_t i = 0; i < threads.size(); ++i)
    page.AddSample(ThreadLabel(i), ToDouble(threads[i].open_flows));
}

template <typename Row, typename T>
void AddCounters(const char* prefix, const Row& rows, const T& counts,
                 metrics_page& page) {
  for (const auto& row : rows) {
    page.BeginMetric(metric_kind::kCounter,
                     std::string(prefix) + row.name + "_total", row.help);
    page.AddSample({}, ToDouble(counts.*row.field));
  }
}

struct pool_row {
  const char* name;
  const char* help;
  uint64_t (*value)(const pool_load&);
};

template <uint32_t upstream_load::*Field>
uint64_t SumOverUpstreams(const pool_load& load) {
  uint64_t sum = 0;
  for (const upstream_load& up : load.upstreams) sum += up.*Field;
  return sum;
}

constexpr std::array kPoolRows{
    pool_row{"connections", "Open connections at the pool's upstreams.",
             SumOverUpstreams<&upstream_load::connections>},
    pool_row{"slots", "Requests in progress at the pool's upstreams.",
             SumOverUpstreams<&upstream_load::slots>},
    pool_row{"queued", "Openings that wait for an upstream.",
             [](const pool_load& load) -> uint64_t { return load.queued; }},
    pool_row{
        "free_slots", "Free slots at upstreams that accept new flows.",
        [](const pool_load& load) -> uint64_t { return load.free_slots; }}};

void AddPools(const std::vector<traffic_report>& threads, metrics_page& page) {
  for (const pool_row& row : kPoolRows) {
    page.BeginMetric(metric_kind::kGauge,
                     std::string("radishyard_pool_") + row.name, row.help);
    for (const traffic_report& report : threads)
      for (const served_pool_load& served : report.loads)
        page.AddSample(
            {{"service", served.name.service}, {"domain", served.name.domain}},
            ToDouble(row.value(served.load)));
  }
}

void AddEvacuations(const evacuation_table& evacuations, metrics_page& page) {
  page.BeginMetric(metric_kind::kGauge, "radishyard_evacuated",
                   "1 while a failure domain is evacuated, 0 afterwards.");
  for (const auto& [domain, record] : evacuations.records)
    page.AddSample({{"domain", domain}}, record.evacuated ? 1 : 0);
}

void AddHistograms(const std::vector<traffic_report>& threads,
                   metrics_page& page) {
  traffic_histograms total;
  for (const traffic_report& report : threads) {
    total.opening += report.times.opening;
    total.queue_wait += report.times.queue_wait;
    total.slot_hold += report.times.slot_hold;
  }
  page.BeginMetric(metric_kind::kHistogram, "radishyard_opening_seconds",
                   "From a SYN sent to an upstream to its SYN-ACK.");
  page.AddHistogram({}, total.opening);
  page.BeginMetric(metric_kind::kHistogram, "radishyard_queue_wait_seconds",
                   "From the arrival of an opening to its placement.");
  page.AddHistogram({}, total.queue_wait);
  page.BeginMetric(metric_kind::kHistogram, "radishyard_slot_hold_seconds",
                   "From the placement of a request to its end.");
  page.AddHistogram({}, total.slot_hold);
}

}  // namespace

std::string BalancerMetrics(const balancer_statistics& statistics) {
  metrics_page page;
  AddTraffic(statistics.threads, page);
  AddPools(statistics.threads, page);
  AddEvacuations(statistics.evacuations, page);
  AddHistograms(statistics.threads, page);
  AddCounters("radishyard_peer_", kPeerRows, statistics.peers, page);
  AddCounters("radishyard_handover_", kHandoverRows, statistics.handovers,
              page);
  page.BeginMetric(metric_kind::kGauge, "radishyard_handover_longest_seconds",
                   "Duration of the longest handover.");
  page.AddSample(
      {}, std::chrono::duration<double>(statistics.handovers.longest).count());
  page.BeginMetric(metric_kind::kCounter, "radishyard_platform_calls_total",
                   "Calls to the platform's object store.");
  for (const call_row& row : kCallRows)
    page.AddSample({{"call", row.name}}, ToDouble(statistics.calls.*row.field));
  page.BeginMetric(metric_kind::kCounter, "radishyard_trace_spans_total",
                   "Spans of traced flows, written or dropped.");
  page.AddSample({{"fate", "written"}}, ToDouble(statistics.spans_written));
  page.AddSample({{"fate", "dropped"}}, ToDouble(statistics.spans_dropped));
  return page.Text();
}

}  // namespace radishyard
