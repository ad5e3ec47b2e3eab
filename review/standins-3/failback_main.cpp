// The upstreams of an evacuated zone have become cold when the operator takes
// the zone back. Usage: failback PROGRAM FOLDER
#include "world.h"

namespace review {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr milliseconds kCold = 6s;
constexpr milliseconds kEvacuated = 8s;
constexpr double kColdPerSecond = 4;
constexpr int kFlowsPerSecond = 150;
constexpr size_t kUpstreams = 4;

int Run(const std::string& program, const std::string& folder) {
  world w(program, folder, {});
  w.Write("config", "main",
          MakeConfig(kCold, kColdPerSecond, "member-banking"));
  std::vector<upstream*> home;
  for (size_t i = 0; i < 2 * kUpstreams; ++i) {
    const bool is_home = i < kUpstreams;
    upstream& server = w.AddUpstream(0x5d2c9b4aa1 + i, "member-banking",
                                     is_home ? "caerdydd" : "abertawe");
    w.Start(server, 0ms);
    if (is_home) home.push_back(&server);
  }
  edge& a = w.AddEdge("edge-1", "caerdydd", 0.1);
  edge& b = w.AddEdge("edge-2", "caerdydd", 0.1);
  w.Start(a);
  w.Start(b);
  const auto both_ready = [&] {
    return w.IsInRotation(a) && w.IsInRotation(b);
  };
  if (!w.RunUntil(both_ready, 10s)) return kCouldNotRun;
  w.StartTraffic("caerdydd", kFlowsPerSecond);
  w.RunFor(5s);
  w.Write("evacuations", "caerdydd", json::object());
  w.RunFor(kEvacuated - 300ms);
  if (HasTrouble())
    for (upstream* const server : home) w.BecomeCold(*server, kCold);
  w.RunFor(300ms);
  w.Remove("evacuations", "caerdydd");
  w.RunFor(kCold + 2s);
  bool is_broken = false;
  for (const upstream* const server : home)
    is_broken |= RecordColdSecond(w, *server, kColdPerSecond);
  w.RecordLogLines("event=evacuations");
  w.RecordLogLines("start_claim");
  w.RecordTotals();
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, const char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
