// The demonstration: seven balancers of three failure domains, an operator's
// table, flows with sprayed packets, and two planned changes meanwhile. Prints
// what it does and what came of it. Usage: demo TABLE_FILE...
#include <iostream>

#include "support/test_cluster.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr uint32_t kSeed = 7;
constexpr duration kInForce = 15s;
constexpr duration kStop = 30s;
constexpr duration kIdle = 5s;  // Longer than a closed flow is kept.

void Say(const std::string& text) {
  std::cout << "== " << text << "\n" << std::flush;
}

json Requests(const char* service, const char* address, int port,
              const char* protocol, int flows) {
  return {{"cmd", "run"},         {"service", service}, {"address", address},
          {"port", port},         {"flows", flows},     {"rate", 300},
          {"protocol", protocol}, {"concurrency", 6},   {"ms", {1, 5}},
          {"bytes", {100, 3000}}, {"seed", port},       {"idempotent", false}};
}

void OpenFlows(test_cluster& w) {
  json feeds = Requests("survey-link", "10.20.0.1", 7000, "tcp", 300);
  feeds.update({{"kind", "feed"}, {"concurrency", 300}, {"push_ms", 250}});
  for (const json& spec :
       {feeds, Requests("survey-link", "10.20.0.1", 7001, "tcp", 1500),
        Requests("survey-link", "10.20.0.1", 7002, "udp", 1000),
        Requests("drawing-archive", "10.20.0.2", 8000, "tcp", 500)})
    w.callers().SendCommand(spec);
}

bool ApplyTables(test_cluster& w, const std::vector<std::string>& files) {
  Say("radishyardctl apply");
  const ctl_result applied = w.ApplyTables(files);
  std::cout << applied.output;
  const bool is_in_force = applied.code == 0 && w.WaitUntilInForce(kInForce);
  Say("radishyardctl status");
  std::cout << w.RunCtl({"status"}).output;
  if (!is_in_force) Say("the table is NOT in force everywhere");
  return is_in_force;
}

bool ChangeMeanwhile(test_cluster& w) {
  Say("meanwhile: radishyardctl drain survey-link survey-1");
  const ctl_result drained = w.RunCtl({"drain", "survey-link", "survey-1"});
  std::cout << drained.output;
  Say("meanwhile: the fabric leaves vannes-1 out, and it gets SIGTERM");
  w.SetFabricBalancers("vannes-1");
  const bool is_clean = w.Balancer("vannes-1").Stop(kStop);
  std::cout << "vannes-1 " << (is_clean ? "ended with 0" : "did NOT end well")
            << "\n";
  return drained.code == 0 && is_clean;
}

bool Report(test_cluster& w) {
  const traffic_results v = w.CollectResults();
  Say("what happened");
  std::cout << "flows completed            " << v.completed << "\n"
            << "flows refused as not run   " << v.refused << "\n"
            << "refused, but ran           " << v.refused_but_ran << "\n"
            << "flows broken               " << v.broken << "\n"
            << "wrong or partial answers   " << v.wrong << "\n"
            << "timeouts                   " << v.timeouts << "\n"
            << "requests run twice         " << v.doubled << "\n"
            << "flows on two upstreams     " << v.on_two << "\n"
            << "flows on another service   " << v.crossed << "\n"
            << "limits of slots exceeded   " << v.over_slots << "\n"
            << "of connections exceeded    " << v.over_connections << "\n";
  if (v.HasNoViolations()) return true;
  std::cout << v.details;
  for (const balancer& b : w.balancers())
    if (b.is_running()) std::cout << b.name() << " " << b.Status() << "\n";
  return false;
}

int Main(const std::vector<std::string>& files) {
  Say("platform, fabric, upstreams, callers and 7 balancers start");
  test_cluster w(ArmorBalancers(), kSeed);
  if (!ApplyTables(w, files)) return 1;
  Say("3,300 flows open; every packet is sprayed, some are duplicated or late");
  w.fabric().SendCommand(
      {{"cmd", "faults"}, {"duplicate", 0.02}, {"reorder", 0.02}});
  OpenFlows(w);
  const bool is_changed = ChangeMeanwhile(w);
  const bool is_settled =
      w.callers().SendCommand({{"cmd", "wait"}})["settled"].get<bool>();
  w.callers().SendCommand({{"cmd", "stop_feeds"}});
  const std::string busy = w.WaitUntilIdle(kIdle);
  Say("radishyardctl status");
  std::cout << w.RunCtl({"status"}).output;
  const bool is_clean = Report(w);
  std::cout << "counted as open by owners  " << (busy.empty() ? "0\n" : busy);
  const bool is_well = is_changed && is_settled && is_clean;
  Say(is_well ? "all promises kept" : "NOT all promises kept");
  return is_well ? 0 : 1;
}

}  // namespace
}  // namespace radishyard

int main(int argc, char** argv) {
  try {  // Unwinds, so that the processes end.
    return radishyard::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << "\n";
    return 1;
  }
}
