// Rates stay far below the slots at service times of a few milliseconds, so
// that nothing has to be refused for want of room.
#include "support/armor_load.h"

#include <algorithm>

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kFlowsPerSecond = 60;  // Of each kind.
constexpr int kTimeoutMs = 8000;

json Flows(const char* service, const char* address, int port,
           const char* protocol, int for_s, int most_ms) {
  return {{"cmd", "run"},
          {"service", service},
          {"address", address},
          {"port", port},
          {"protocol", protocol},
          {"flows", kFlowsPerSecond * for_s},
          {"rate", kFlowsPerSecond},
          {"concurrency", 1000},
          {"idempotent", port != 7002},
          {"ms", {1, most_ms}},
          {"bytes", {100, 3000}},
          {"timeout_ms", kTimeoutMs},
          {"seed", port + for_s}};
}

}  // namespace

std::string ArmorTable(const std::string& service) {
  return BinaryPath("../examples/armor/" + service + ".json");
}

std::string StartArmor(test_cluster& w, int feeds) {
  const ctl_result applied =
      w.ApplyTables({ArmorTable("survey-link"), ArmorTable("drawing-archive")});
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

void StartFlows(test_cluster& w, int for_s, int most_ms) {
  const auto run = [&](const json& flows) { w.callers().SendCommand(flows); };
  run(Flows("survey-link", "10.20.0.1", 7001, "tcp", for_s, most_ms));
  run(Flows("survey-link", "10.20.0.1", 7002, "udp", for_s, most_ms));
  run(Flows("drawing-archive", "10.20.0.2", 8001, "udp", for_s, most_ms));
}

json EndLoad(test_cluster& w) {
  w.callers().SendCommand({{"cmd", "wait"}});
  return w.callers().SendCommand({{"cmd", "stop_feeds"}});
}

double LongestGap(const json& report) {
  double longest = 0;
  for (const json& run : report["runs"])
    if (run["kind"] == "request")
      longest = std::max(longest, run["longest_gap_ms"].get<double>());
  return longest;
}

}  // namespace radishyard
