// Demonstration: runs seven balancers in three failure domains with an
// operator's table and flows whose packets the fabric sprays over the
// balancers, makes two planned changes while the flows are open, and prints
// each step and the results. Usage: demo TABLE_FILE...
#include <iostream>

#include "support/test_cluster.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr uint32_t kSeed = 7;
constexpr duration kInForceTimeout = 15s;
constexpr duration kStopTimeout = 30s;
constexpr duration kIdleTimeout = 5s;  // Balancers keep closed flows for less.

void PrintStep(const std::string& text) {
  std::cout << "== " << text << "\n" << std::flush;
}

json MakeRunSpec(const char* service, const char* address, int port,
                 const char* protocol, int flows) {
  return {{"cmd", "run"},         {"service", service}, {"address", address},
          {"port", port},         {"flows", flows},     {"rate", 300},
          {"protocol", protocol}, {"concurrency", 6},   {"ms", {1, 5}},
          {"bytes", {100, 3000}}, {"seed", port},       {"idempotent", false}};
}

void OpenFlows(test_cluster& cluster) {
  json feeds = MakeRunSpec("survey-link", "10.20.0.1", 7000, "tcp", 300);
  feeds.update({{"kind", "feed"}, {"concurrency", 300}, {"push_ms", 250}});
  for (const json& spec :
       {feeds, MakeRunSpec("survey-link", "10.20.0.1", 7001, "tcp", 1500),
        MakeRunSpec("survey-link", "10.20.0.1", 7002, "udp", 1000),
        MakeRunSpec("drawing-archive", "10.20.0.2", 8000, "tcp", 500)})
    cluster.callers().SendCommand(spec);
}

bool ApplyTables(test_cluster& cluster, const std::vector<std::string>& files) {
  PrintStep("radishyardctl apply");
  const ctl_result apply_result = cluster.ApplyTables(files);
  std::cout << apply_result.output;
  const bool is_in_force =
      apply_result.code == 0 && cluster.WaitUntilInForce(kInForceTimeout);
  PrintStep("radishyardctl status");
  std::cout << cluster.RunCtl({"status"}).output;
  if (!is_in_force) PrintStep("the table is NOT in force everywhere");
  return is_in_force;
}

bool MakePlannedChanges(test_cluster& cluster) {
  PrintStep("meanwhile: radishyardctl drain survey-link survey-1");
  const ctl_result drained =
      cluster.RunCtl({"drain", "survey-link", "survey-1"});
  std::cout << drained.output;
  PrintStep("meanwhile: the fabric leaves vannes-1 out, and it gets SIGTERM");
  cluster.SetFabricBalancers("vannes-1");
  const bool is_clean = cluster.Balancer("vannes-1").Stop(kStopTimeout);
  std::cout << "vannes-1 " << (is_clean ? "ended with 0" : "did NOT end well")
            << "\n";
  return drained.code == 0 && is_clean;
}

bool PrintResults(test_cluster& cluster) {
  const traffic_results results = cluster.CollectResults();
  PrintStep("what happened");
  std::cout << "flows completed            " << results.completed << "\n"
            << "flows refused as not run   " << results.refused << "\n"
            << "refused, but ran           " << results.refused_but_ran << "\n"
            << "flows broken               " << results.broken << "\n"
            << "wrong or partial answers   " << results.wrong << "\n"
            << "timeouts                   " << results.timeouts << "\n"
            << "requests run twice         " << results.doubled << "\n"
            << "flows on two upstreams     " << results.on_two << "\n"
            << "flows on another service   " << results.crossed << "\n"
            << "limits of slots exceeded   " << results.over_slots << "\n"
            << "of connections exceeded    " << results.over_connections
            << "\n";
  if (results.HasNoViolations()) return true;
  std::cout << results.details;
  for (const balancer& b : cluster.balancers())
    if (b.is_running()) std::cout << b.name() << " " << b.Status() << "\n";
  return false;
}

int Main(const std::vector<std::string>& files) {
  PrintStep("platform, fabric, upstreams, callers and 7 balancers start");
  test_cluster cluster(ArmorBalancers(), kSeed);
  if (!ApplyTables(cluster, files)) return 1;
  PrintStep(
      "3,300 flows open; every packet is sprayed, some are duplicated or late");
  cluster.fabric().SendCommand(
      {{"cmd", "faults"}, {"duplicate", 0.02}, {"reorder", 0.02}});
  OpenFlows(cluster);
  const bool is_changed = MakePlannedChanges(cluster);
  const bool is_settled =
      cluster.callers().SendCommand({{"cmd", "wait"}})["settled"].get<bool>();
  cluster.callers().SendCommand({{"cmd", "stop_feeds"}});
  const std::string open_flows = cluster.WaitUntilIdle(kIdleTimeout);
  PrintStep("radishyardctl status");
  std::cout << cluster.RunCtl({"status"}).output;
  const bool is_clean = PrintResults(cluster);
  std::cout << "counted as open by owners  "
            << (open_flows.empty() ? "0\n" : open_flows);
  const bool has_passed = is_changed && is_settled && is_clean;
  PrintStep(has_passed ? "all promises kept" : "NOT all promises kept");
  return has_passed ? 0 : 1;
}

}  // namespace
}  // namespace radishyard

int main(int argc, char** argv) {
  try {  // Unwinds the stack, which ends the processes.
    return radishyard::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << "\n";
    return 1;
  }
}
