// The entry of an upstream that cannot reach the store expires while both
// balancers that read the store for their zone are down.
//
// Usage: expiry PROGRAM FOLDER
#include <algorithm>

#include "world.h"

namespace review {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr bounds kSiteBounds{.drain_ms = 3000,
                             .edit_ms = 3000,
                             .evacuate_ms = 0,
                             .stable_window_ms = 4000};
constexpr int kFlowsPerSecond = 80;
constexpr size_t kUpstreams = 5;
constexpr int kRounds = 3;
constexpr milliseconds kHeartbeat = 1200ms;
constexpr milliseconds kDark = 3500ms;

/// \returns true if DRAIN was broken.
bool RunRound(world& w, upstream& cut, const std::vector<edge*>& readers) {
  cut.reaches_store = false;
  const time_point last_beat = cut.last_beat;
  w.Record("upstream: its heartbeats do not reach the store any more");
  w.RunUntil([&] { return clock::now() > last_beat + 3 * kHeartbeat - 100ms; },
             5s);
  if (HasTrouble())
    for (edge* const vm : readers) w.Kill(*vm, kDark);
  w.RunFor(100ms);
  w.Expire(cut);
  const time_point gone_at = clock::now();
  w.RunFor(10s);
  const time_point bound = gone_at + milliseconds(w.limits.drain_ms);
  size_t late = 0;
  time_point last = gone_at;
  for (const opening& each : w.openings()) {
    const bool is_calm = each.via == "edge-3";
    if (each.upstream != cut.id || !is_calm || each.arrived < gone_at) continue;
    last = std::max(last, each.arrived);
    if (each.arrived > bound) ++late;
  }
  w.Record("judge: " + std::to_string(late) +
           " flows through edge-3, which was calm, reached the upstream later "
           "than " +
           std::to_string(w.Ms(bound)) + " ms, the last at " +
           std::to_string(w.Ms(last)) + " ms" +
           (late > 0 ? ", DRAIN broken" : ""));
  cut.reaches_store = true;
  w.RunFor(8s);
  return late > 0;
}

int Run(const std::string& program, const std::string& folder) {
  world w(program, folder, kSiteBounds);
  w.Write("config", "main", MakeConfig(2s, 0, "chantier-live"));
  std::vector<upstream*> servers;
  for (size_t i = 0; i < kUpstreams; ++i) {
    servers.push_back(
        &w.AddUpstream(0x5d2c9b4aa1 + i, "chantier-live", "rennes"));
    w.Start(*servers.back(), 0ms);
  }
  // The two with the highest capacity read the store for the zone.
  std::vector<edge*> vms{&w.AddEdge("edge-1", "rennes", 0.5),
                         &w.AddEdge("edge-2", "rennes", 0.5),
                         &w.AddEdge("edge-3", "rennes", 0.055)};
  for (edge* const vm : vms) w.Start(*vm);
  const auto all_ready = [&] {
    return std::all_of(vms.begin(), vms.end(),
                       [&](edge* vm) { return w.IsInRotation(*vm); });
  };
  if (!w.RunUntil(all_ready, 10s)) return kCouldNotRun;
  w.StartTraffic("rennes", kFlowsPerSecond);
  w.RunFor(6s);
  bool is_broken = false;
  for (int round = 0; round < kRounds; ++round)
    is_broken |= RunRound(w, *servers.front(), {vms[0], vms[1]});
  w.RecordLogLines("upstream_missing");
  w.RecordLogLines("upstream_gone");
  w.RecordLogLines("upstream_returned");
  w.RecordTotals();
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, const char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
