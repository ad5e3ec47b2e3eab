// A zone is to be evacuated just after the store has returned from a
// copy. Usage: evacuation PROGRAM FOLDER
#include <algorithm>

#include "world.h"

namespace review {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr int kFlowsPerSecond = 60;
constexpr size_t kUpstreams = 4;
constexpr int kRounds = 1;
constexpr milliseconds kAway = 200ms;

uint64_t CountReads(world& w) {
  const auto& counts = w.store().request_counts();
  const auto reads = counts.find("evacuations list");
  return reads == counts.end() ? 0 : reads->second;
}

/// One request to evacuate the zone, 150 ms after the store's return.
/// \returns true if EVAC was broken.
bool RunRound(world& w) {
  w.store().SaveCopy();
  w.Record("store: a copy is kept");
  w.RunFor(2500ms);
  const uint64_t reads = CountReads(w);
  w.RunUntil([&] { return CountReads(w) > reads; }, 5s);
  w.RunFor(100ms);
  if (HasTrouble()) {
    w.Record("store: away");
    w.store().SetFault({.closes_connection = true});
    w.RunFor(kAway);
    w.store().SetFault({});
    w.ReturnStoreFromCopy();
  }
  const time_point returned_at = clock::now();
  w.RunFor(150ms);
  const time_point acknowledged_at =
      w.Write("evacuations", "caerdydd", json::object());
  w.RunFor(10s);
  const time_point bound =
      std::max(acknowledged_at + milliseconds(w.limits.evacuate_ms),
               returned_at + milliseconds(w.limits.stable_window_ms));
  size_t late = 0;
  time_point last = acknowledged_at;
  for (const opening& each : w.openings()) {
    if (each.zone != "caerdydd" || each.arrived < acknowledged_at) continue;
    last = std::max(last, each.arrived);
    if (each.arrived > bound) ++late;
  }
  w.Record("judge: " + std::to_string(late) +
           " flows reached the zone later than " + std::to_string(w.Ms(bound)) +
           " ms, the last at " + std::to_string(w.Ms(last)) + " ms" +
           (late > 0 ? ", EVAC broken" : ""));
  w.Remove("evacuations", "caerdydd");
  w.RunFor(10s);
  return late > 0;
}

int Run(const std::string& program, const std::string& folder) {
  world w(program, folder, {});
  w.Write("config", "main", MakeConfig(2s, 0, "member-banking"));
  for (size_t i = 0; i < 2 * kUpstreams; ++i)
    w.Start(w.AddUpstream(0x5d2c9b4aa1 + i, "member-banking",
                          i < kUpstreams ? "caerdydd" : "abertawe"),
            0ms);
  std::vector<edge*> vms;
  for (int i = 1; i <= 3; ++i)
    vms.push_back(&w.AddEdge("edge-" + std::to_string(i), "caerdydd", 0.1));
  for (edge* const vm : vms) w.Start(*vm);
  const auto all_ready = [&] {
    return std::all_of(vms.begin(), vms.end(),
                       [&](edge* vm) { return w.IsInRotation(*vm); });
  };
  if (!w.RunUntil(all_ready, 10s)) return kCouldNotRun;
  w.StartTraffic("caerdydd", kFlowsPerSecond);
  w.RunFor(3s);
  bool is_broken = false;
  for (int round = 0; round < kRounds; ++round) is_broken |= RunRound(w);
  w.RecordLogLines("event=evacuations");
  w.RecordLogLines("event=store_returned");
  w.RecordTotals();
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, const char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
