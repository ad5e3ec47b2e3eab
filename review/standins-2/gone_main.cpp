// Case: one balancer stands still for some seconds; a server whose entry the
// store removes then keeps getting new flows through the other balancers.
//
// Usage: gone_case FOLDER SCRATCH PROGRAM TROUBLE
#include <signal.h>

#include <iostream>

#include "world.h"

namespace review {
namespace {

constexpr int kCallers = 20;
constexpr millis kCallerPause{200};
constexpr millis kLastHeartbeat{4000};
constexpr millis kSilenceUntilRemoval{3 * kHeartbeatMs};
constexpr millis kRemoval = kLastHeartbeat + kSilenceUntilRemoval;
constexpr millis kFreezeEnd = kRemoval - millis(600);
constexpr millis kFreezeLength{4000};
constexpr millis kFreezeStart = kFreezeEnd - kFreezeLength;
constexpr millis kDrainBound{3000};
/// Longest time that a packet is on its way on loopback.
constexpr millis kTransit{50};
/// Index of the balancer that stands still, one of eleven.
constexpr size_t kFrozen = 3;
constexpr millis kLength{30'000};

int Run(const std::string& folder, const std::string& scratch,
        const std::string& program, bool trouble) {
  world w({.folder = folder,
           .scratch = scratch,
           .program = program,
           .edge_zones = {"rennes", "rennes", "rennes", "rennes", "quimper",
                          "quimper", "quimper", "quimper", "vannes", "vannes",
                          "vannes"},
           .server_zones = {"rennes", "rennes", "rennes", "rennes", "rennes",
                            "quimper", "vannes"}});
  if (!w.WaitUntilReady()) return 2;
  for (int i = 0; i < kCallers; ++i)
    w.AddCaller("rennes")->StartFreshFlows(kCallerPause);
  const server& gone = *w.servers.front();
  time_point removed_at = time_point::max();
  uint64_t late = 0;
  w.servers.front()->on_opening = [&](const server& s, const packet& p,
                                      const address& balancer) {
    const bool is_frozen_one = trouble && balancer.ip == w.edges.at(kFrozen).ip;
    if (removed_at == time_point::max() || is_frozen_one) return;
    const auto elapsed = steady::now() - removed_at;
    if (elapsed <= kDrainBound + kTransit) return;
    ++late;
    const auto ms = std::chrono::duration_cast<millis>(elapsed).count();
    w.log.Break("DRAIN: opening of " + ToText(p.from) + " through " +
                ToText(balancer) + " reaches " + s.name() + " " +
                std::to_string(ms) + " ms after its entry was removed");
  };
  if (trouble) {
    w.At(kFreezeStart, [&] {
      w.log.Write("edge-" + std::to_string(kFrozen + 1) + " is stopped");
      w.edges.at(kFrozen).program->SendSignal(SIGSTOP);
    });
    w.At(kFreezeEnd, [&] {
      w.log.Write("edge-" + std::to_string(kFrozen + 1) + " continues");
      w.edges.at(kFrozen).program->SendSignal(SIGCONT);
    });
  }
  w.At(kRemoval, [&] {
    w.log.Write("the store removes the entry of " + gone.name() +
                ", which it has not heard of for three heartbeats");
    w.store->Delete("servers", gone.name());
    removed_at = steady::now();
  });
  if (!w.Run(kLength)) return 2;
  uint64_t served = 0;
  for (const auto& c : w.callers) served += c->counts().served;
  w.log.Write("served " + std::to_string(served) + ", late openings " +
              std::to_string(late));
  std::cout << "served " << served << ", broken " << w.log.breaks() << "\n";
  if (served == 0) return 2;
  return w.log.breaks() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  return review::Run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
}
