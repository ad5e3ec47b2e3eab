// The request rate stays far below what the slots can serve at service times of
// a few milliseconds, so that no flow is refused for lack of capacity.
#include "support/armor_load.h"

#include <algorithm>

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFlowsPerSecond = 60;  // Of each of the three runs.
constexpr int kTimeoutMs = 8000;

json MakeRun(const char* service, const char* address, int port,
             const char* protocol, int duration_s, int max_service_ms) {
  return {{"cmd", "run"},
          {"service", service},
          {"address", address},
          {"port", port},
          {"protocol", protocol},
          {"flows", kFlowsPerSecond * duration_s},
          {"rate", kFlowsPerSecond},
          {"concurrency", 1000},
          {"idempotent", port != 7002},
          {"ms", {1, max_service_ms}},
          {"bytes", {100, 3000}},
          {"timeout_ms", kTimeoutMs},
          {"seed", port + duration_s}};
}

}  // namespace

std::string ArmorTableFile(const std::string& service) {
  return BinaryPath("../examples/armor/" + service + ".json");
}

std::string ApplyTablesAndOpenFeeds(test_cluster& w, int feeds) {
  const ctl_result applied = w.ApplyTables(
      {ArmorTableFile("survey-link"), ArmorTableFile("drawing-archive")});
  if (applied.code != 0) return applied.output;
  if (!w.WaitUntilInForce(20s)) return "not in force";
  w.callers().SendCommand({{"cmd", "run"},
                           {"service", "survey-link"},
                           {"address", "10.20.0.1"},
                           {"port", 7000},
                           {"kind", "feed"},
                           {"flows", feeds},
                           {"concurrency", feeds},
                           {"rate", 400},
                           {"push_ms", 1000},
                           {"timeout_ms", kTimeoutMs}});
  const bool settled = w.callers().SendCommand({{"cmd", "wait"}})["settled"];
  return settled ? "" : "feeds not accepted";
}

void StartShortFlows(test_cluster& w, int duration_s, int max_service_ms) {
  const auto run = [&](const json& flows) { w.callers().SendCommand(flows); };
  run(MakeRun("survey-link", "10.20.0.1", 7001, "tcp", duration_s,
              max_service_ms));
  run(MakeRun("survey-link", "10.20.0.1", 7002, "udp", duration_s,
              max_service_ms));
  run(MakeRun("drawing-archive", "10.20.0.2", 8001, "udp", duration_s,
              max_service_ms));
}

json WaitForFlowsAndCloseFeeds(test_cluster& w) {
  w.callers().SendCommand({{"cmd", "wait"}});
  return w.callers().SendCommand({{"cmd", "stop_feeds"}});
}

double LongestAcceptGapMs(const json& report) {
  double longest = 0;
  for (const json& run : report["runs"])
    if (run["kind"] == "request")
      longest = std::max(longest, run["longest_gap_ms"].get<double>());
  return longest;
}

}  // namespace radishyard
