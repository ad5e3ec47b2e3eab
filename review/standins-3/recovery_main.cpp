// All balancers are killed while the upstreams of the only service are cold.
// Usage: recovery PROGRAM FOLDER
#include "world.h"

namespace review {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr milliseconds kCold = 30s;
constexpr double kColdPerSecond = 5;
constexpr int kFlowsPerSecond = 30;
constexpr size_t kUpstreams = 4;
constexpr milliseconds kDown = 1200ms;
constexpr milliseconds kRecovery = 15s;
constexpr milliseconds kLookedAt = 10s;
constexpr milliseconds kLongestFlow = 2s;

/// The flows sent in a time, and those of them that an upstream took.
struct served {
  size_t sent = 0;
  size_t taken = 0;
};

served Count(const world& w, time_point from, time_point to) {
  served counts;
  for (const time_point at : w.sent())
    if (at >= from && at < to) ++counts.sent;
  for (const opening& each : w.openings())
    if (each.sent >= from && each.sent < to) ++counts.taken;
  return counts;
}

std::string ToText(const served& s) {
  return std::to_string(s.taken) + " of " + std::to_string(s.sent);
}

int Run(const std::string& program, const std::string& folder) {
  world w(program, folder, {});
  w.Write("config", "main",
          MakeConfig(kCold, kColdPerSecond, "member-banking"));
  std::vector<edge*> vms{&w.AddEdge("edge-1", "caerdydd", 0.1),
                         &w.AddEdge("edge-2", "caerdydd", 0.1),
                         &w.AddEdge("edge-3", "caerdydd", 0.1)};
  for (edge* const vm : vms) w.Start(*vm);
  const auto all_ready = [&] {
    return w.IsInRotation(*vms[0]) && w.IsInRotation(*vms[1]) &&
           w.IsInRotation(*vms[2]);
  };
  if (!w.RunUntil(all_ready, 10s)) return kCouldNotRun;
  w.RunFor(1500ms);
  for (size_t i = 0; i < kUpstreams; ++i)
    w.Start(w.AddUpstream(0x5d2c9b4aa1 + i, "member-banking", "caerdydd"),
            kCold);
  w.RunFor(2500ms);
  w.StartTraffic("caerdydd", kFlowsPerSecond);
  const time_point begun_at = clock::now();
  w.RunFor(4s);
  const time_point ended_at = clock::now();
  if (HasTrouble())
    for (edge* const vm : vms) w.Kill(*vm, kDown);
  w.RunFor(kDown);
  const time_point back_at = clock::now();
  const time_point from = back_at + kRecovery;
  w.RunFor(kRecovery + kLookedAt + kLongestFlow);
  const served before = Count(w, begun_at, ended_at);
  const served after = Count(w, from, from + kLookedAt);
  const bool is_broken =
      before.taken * 4 >= before.sent && after.taken * 4 < after.sent;
  w.Record("judge: served before the fault " + ToText(before) +
           "; of those sent from " + std::to_string(w.Ms(from)) + " to " +
           std::to_string(w.Ms(from + kLookedAt)) + " ms " + ToText(after) +
           (is_broken ? ", RECOVER broken" : ""));
  w.RecordLogLines("start_claim");
  w.RecordTotals();
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, const char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
