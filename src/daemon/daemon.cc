// Connects the parts of a balancer and builds its status and metrics pages.
#include "daemon/daemon.h"

#include <nlohmann/json.hpp>

#include "daemon/balancer_metrics.h"
#include "observe/log.h"
#include "store/http_store.h"

namespace radishyard {
namespace {

using json = nlohmann::json;

json ServicesToJson(const service_table& table) {
  json services = json::object();
  for (const auto& [name, record] : table.records) {
    services[name] = {{"version", record->version},
                      {"edit_id", record->edit_id}};
  }
  return services;
}

json EvacuationsToJson(const evacuation_table& evacuations) {
  json domains = json::object();
  for (const auto& [domain, record] : evacuations.records) {
    domains[domain] = {{"evacuated", record.evacuated},
                       {"version", record.version},
                       {"edit_id", record.edit_id}};
  }
  return domains;
}

json RostersToJson(const roster_cache& rosters) {
  json domains = json::object();
  for (const auto& [domain, latest] : rosters.All()) {
    domains[domain] = {{"epoch", latest.value.epoch},
                       {"version", latest.version}};
  }
  return domains;
}

json CountersToJson(const traffic_counters& c) {
  return {{"packets", c.packets},
          {"malformed", c.malformed},
          {"untrusted", c.untrusted},
          {"no_service", c.no_service},
          {"no_pool", c.no_pool},
          {"forwarded", c.forwarded},
          {"hop_limit", c.hop_limit},
          {"placed", c.placed},
          {"queued", c.queued},
          {"refused", c.refused},
          {"refused_evacuated", c.refused_evacuated},
          {"replaced", c.replaced},
          {"passed", c.passed},
          {"adopted", c.adopted},
          {"witness_asked", c.witness_asked},
          {"witness_answered", c.witness_answered},
          {"stale_answers", c.stale_answers},
          {"duplicates", c.duplicates},
          {"unsafe_withheld", c.unsafe_withheld},
          {"send_failed", c.send_failed}};
}

json PeerCountersToJson(const peer_counters& c) {
  return {{"messages_sent", c.messages_sent},
          {"bytes_sent", c.bytes_sent},
          {"messages_received", c.messages_received},
          {"bytes_received", c.bytes_received},
          {"malformed", c.malformed},
          {"overflows", c.overflows}};
}

json HandoversToJson(const handover_statistics& t) {
  return {{"pools", t.pools},
          {"flows", t.flows},
          {"bytes", t.bytes},
          {"longest_ms", ToMs(t.longest)}};
}

json PoolLoadToJson(const served_pool_load& served) {
  uint64_t connections = 0;
  uint64_t slots = 0;
  for (const upstream_load& up : served.load.upstreams) {
    connections += up.connections;
    slots += up.slots;
  }
  return {{"service", served.name.service},
          {"domain", served.name.domain},
          {"owner", true},
          {"connections", connections},
          {"slots", slots},
          {"queued", served.load.queued},
          {"free_slots", served.load.free_slots}};
}

}  // namespace

daemon::daemon(const settings& config, uint64_t incarnation)
    : config_(config),
      signals_(io_, SIGTERM, SIGINT),
      store_(MakeHttpStore(io_, config.platform, kStoreTimeout, config.name)),
      traffic_(io_, config.data, config.data_threads, config.limits.held_flows),
      controller_(io_, store_, config, incarnation, traffic_) {}

void daemon::ApplyReports(const std::vector<traffic_report>& reports) {
  std::vector<served_pool_load> loads;
  std::vector<pool_name> pools_to_hand_over;
  for (const traffic_report& report : reports) {
    loads.insert(loads.end(), report.loads.begin(), report.loads.end());
    pools_to_hand_over.insert(pools_to_hand_over.end(),
                              report.pools_to_hand_over.begin(),
                              report.pools_to_hand_over.end());
  }
  controller_.ApplyTrafficReport(loads, pools_to_hand_over);
}

void daemon::OpenTraceFile() {
  if (config_.trace.file.empty()) return;
  failure why;
  traces_ = trace_writer::Open(io_, config_.name, config_.trace.file, why);
  if (!traces_) Log(severity::kError, "trace_failed", {{"reason", why.text}});
}

void daemon::Run() {
  OpenTraceFile();
  traffic_.Start(
      [this](const std::vector<traffic_report>& reports) {
        ApplyReports(reports);
      },
      [this](const hop_span& hop) {
        if (traces_) traces_->TryQueueHop(hop);
      });
  admin_ = std::make_unique<admin_server>(
      io_, config_.admin,
      admin_server::page_map{
          {"/status", [this] { return BuildStatusPage(); }},
          {"/metrics", [this] { return BuildMetricsPage(); }}});
  ShutDownAtFirstSignal();
  controller_.Start();
  Log(severity::kInfo, "started",
      {{"balancer", config_.name},
       {"domain", config_.domain},
       {"incarnation", controller_.self().id.incarnation}});
  io_.run();
  traffic_.Stop();
  Log(severity::kInfo, "stopped", {{"balancer", config_.name}});
}

void daemon::ShutDownAtFirstSignal() {
  signals_.async_wait([this](error_code error, int number) {
    if (error) return;
    Log(severity::kInfo, "shutdown_begun",
        {{"signal", static_cast<uint64_t>(number)}});
    ShutDown();
    StopAtNextSignal();
  });
}

// A graceful shutdown needs the platform, because the pools are released by an
// update of the roster. If the platform is not reachable, the shutdown waits
// for it until a second signal stops the daemon at once.
void daemon::StopAtNextSignal() {
  signals_.async_wait([this](error_code error, int number) {
    if (error) return;
    Log(severity::kWarn, "shutdown_forced",
        {{"signal", static_cast<uint64_t>(number)}});
    io_.stop();
  });
}

void daemon::ShutDown() {
  controller_.Leave([this] { io_.stop(); });
}

admin_page daemon::BuildMetricsPage() const {
  balancer_statistics statistics{traffic_.reports(),
                                 controller_.hub().counters(),
                                 controller_.handovers().statistics(),
                                 store_.calls(), controller_.evacuations()};
  if (traces_) {
    statistics.spans_written = traces_->written();
    statistics.spans_dropped = traces_->dropped();
  }
  return {"text/plain; version=0.0.4", BalancerMetrics(statistics)};
}

admin_page daemon::BuildStatusPage() const {
  json page = {{"balancer", config_.name},
               {"domain", config_.domain},
               {"incarnation", controller_.self().id.incarnation},
               {"platform_reachable", controller_.IsStoreReachable()},
               {"services", ServicesToJson(controller_.table())},
               {"evacuations", EvacuationsToJson(controller_.evacuations())},
               {"rosters", RostersToJson(controller_.rosters())}};
  page["peers"] = PeerCountersToJson(controller_.hub().counters());
  page["handovers"] = HandoversToJson(controller_.handovers().statistics());
  const time_point now = std::chrono::steady_clock::now();
  const std::map<pool_name, time_point> deadlines =
      controller_.NonIdempotentDeadlines(now);
  size_t open = 0;
  size_t queued = 0;
  page["pools"] = json::array();
  page["threads"] = json::array();
  for (const traffic_report& report : traffic_.reports()) {
    open += report.open_flows;
    json thread = CountersToJson(report.counters);
    thread["age_ms"] = ToMs(now - report.at);
    page["threads"].push_back(std::move(thread));
    for (const served_pool_load& load : report.loads) {
      queued += load.load.queued;
      json pool = PoolLoadToJson(load);
      const auto deadline = deadlines.find(load.name);
      pool["lease_ms"] =
          deadline == deadlines.end()
              ? 0
              : std::max<int64_t>(0, ToMs(deadline->second - now));
      page["pools"].push_back(std::move(pool));
    }
  }
  page["flows"] = {{"open", open}, {"queued", queued}};
  return {"application/json", page.dump() + "\n"};
}

}  // namespace radishyard
