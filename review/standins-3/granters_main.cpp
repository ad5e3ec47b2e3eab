// After the store has returned from a copy, two balancers grant
// openings on the same cold upstream.
//
// Usage: granters PROGRAM FOLDER
#include "world.h"

namespace review {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr milliseconds kCold = 12s;
constexpr double kColdPerSecond = 4;
constexpr int kFlowsPerSecond = 150;
constexpr size_t kUpstreams = 4;

int Run(const std::string& program, const std::string& folder) {
  world w(program, folder, {});
  w.Write("config", "main",
          MakeConfig(kCold, kColdPerSecond, "member-banking"));
  edge& a = w.AddEdge("edge-1", "caerdydd", 0.028);
  edge& b = w.AddEdge("edge-2", "caerdydd", 0.028);
  w.Start(a);
  w.Start(b);
  const auto both_ready = [&] {
    return w.IsInRotation(a) && w.IsInRotation(b);
  };
  if (!w.RunUntil(both_ready, 10s)) return kCouldNotRun;
  w.RunFor(1500ms);

  w.store().SaveCopy();
  w.Record("store: a copy is kept");
  w.RunFor(100ms);
  std::vector<upstream*> servers;
  for (size_t i = 0; i < kUpstreams; ++i) {
    servers.push_back(
        &w.AddUpstream(0x5d2c9b4aa1 + i, "member-banking", "caerdydd"));
    w.Start(*servers.back(), kCold);
  }
  w.StartTraffic("caerdydd", kFlowsPerSecond);
  const auto all_claimed = [&w] {
    const auto& counts = w.store().request_counts();
    const auto created = counts.find("startclaims create");
    return created != counts.end() && created->second >= kUpstreams;
  };
  if (!w.RunUntil(all_claimed, 8s)) return kCouldNotRun;
  w.RunFor(2s);
  if (HasTrouble()) w.ReturnStoreFromCopy();
  w.RunFor(200ms);
  // Planned in both runs: a VM is added.
  edge& c = w.AddEdge("edge-3", "caerdydd", 0.5);
  w.Start(c);
  if (!w.RunUntil([&] { return w.IsInRotation(c); }, 5s)) return kCouldNotRun;
  const time_point warm = servers.front()->cold_until;
  w.RunUntil([warm] { return clock::now() > warm; }, kCold);
  w.RecordLogLines("start_claim");
  w.RecordTotals();
  bool is_broken = false;
  for (const upstream* const server : servers)
    is_broken |= RecordColdSecond(w, *server, kColdPerSecond);
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, const char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
