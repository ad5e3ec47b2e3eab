// The entry of an upstream that cannot reach the store expires while the only
// balancer of another zone is cut off from the store.
//
// Usage: cut PROGRAM FOLDER
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
constexpr milliseconds kHeartbeat = 1200ms;
constexpr milliseconds kCut = 5500ms;
constexpr milliseconds kCutBeforeExpiry = 2500ms;

/// \returns true if DRAIN was broken.
bool RunRound(world& w, upstream& silent, edge& remote) {
  silent.reaches_store = false;
  const time_point expires_at = silent.last_beat + 3 * kHeartbeat;
  w.Record("upstream: its heartbeats do not reach the store any more");
  w.RunUntil([&] { return clock::now() > expires_at - kCutBeforeExpiry; }, 5s);
  if (HasTrouble()) w.CutFromStore(remote, true);
  w.RunUntil([&] { return clock::now() > expires_at; }, 5s);
  w.Expire(silent);
  const time_point gone_at = clock::now();
  w.RunFor(kCut - kCutBeforeExpiry);
  if (HasTrouble()) w.CutFromStore(remote, false);
  w.RunFor(10s);
  const time_point bound = gone_at + milliseconds(w.limits.drain_ms);
  size_t late = 0;
  time_point last = gone_at;
  for (const opening& each : w.openings()) {
    const bool is_calm = each.via != remote.name;
    if (each.upstream != silent.id || !is_calm || each.arrived < gone_at)
      continue;
    last = std::max(last, each.arrived);
    if (each.arrived > bound) ++late;
  }
  w.Record("judge: " + std::to_string(late) +
           " flows through machines in touch reached the upstream later than " +
           std::to_string(w.Ms(bound)) + " ms, the last at " +
           std::to_string(w.Ms(last)) + " ms" +
           (late > 0 ? ", DRAIN broken" : ""));
  silent.reaches_store = true;
  w.RunFor(5s);
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
  std::vector<edge*> vms{&w.AddEdge("edge-1", "rennes", 0.055),
                         &w.AddEdge("edge-2", "rennes", 0.055),
                         &w.AddEdge("edge-3", "vannes", 0.055)};
  for (edge* const vm : vms) w.Start(*vm);
  const auto all_ready = [&] {
    return std::all_of(vms.begin(), vms.end(),
                       [&](edge* vm) { return w.IsInRotation(*vm); });
  };
  if (!w.RunUntil(all_ready, 10s)) return kCouldNotRun;
  w.StartTraffic("rennes", kFlowsPerSecond);
  w.RunFor(6s);
  const bool is_broken = RunRound(w, *servers.front(), *vms[2]);
  w.RecordLogLines("upstream_missing");
  w.RecordLogLines("upstream_gone");
  w.RecordLogLines("event=platform_");
  w.RecordTotals();
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, const char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
