// Case: two datagrams in a row are lost on the way to a living server, in a
// zone with one balancer; the balancer resets open flows.
//
// Usage: alone_case FOLDER SCRATCH PROGRAM TROUBLE
#include <iostream>

#include "world.h"

namespace review {
namespace {

constexpr int kCallers = 4;
constexpr millis kCallerPause{1500};
constexpr millis kFirstLoss{5000};
constexpr millis kLossInterval{5000};
constexpr int kLosses = 10;
/// The first copy of a request and its first repetition.
constexpr int kLostInARow = 2;
constexpr millis kLength{56'000};

int Run(const std::string& folder, const std::string& scratch,
        const std::string& program, bool trouble) {
  world w({.folder = folder,
           .scratch = scratch,
           .program = program,
           .edge_zones = {"rennes", "quimper", "vannes"},
           .server_zones = {"vannes", "vannes", "vannes", "vannes"}});
  if (!w.WaitUntilReady()) return 2;
  for (int i = 0; i < kCallers; ++i)
    w.AddCaller("vannes")->StartLongFlows(1, kCallerPause);
  for (const auto& c : w.callers) {
    c->on_reset = [&w](const caller& who, const caller_flow& f) {
      const address from{who.ip(), f.port};
      for (const auto& s : w.servers)
        if (s->HasOpenFlow(from, {kRouteIp, kRoutePort}))
          w.log.Break("FLOW: a balancer reset " + ToText(from) +
                      ", which is open at the living server " + s->name());
    };
  }
  int to_lose = 0;
  uint64_t lost = 0;
  const uint32_t unlucky = w.callers.front()->ip();
  for (const auto& s : w.servers) {
    s->is_lost = [&](const packet& p) {
      if (to_lose == 0 || p.from.ip != unlucky || p.data.empty()) return false;
      --to_lose;
      ++lost;
      w.log.Write("lost: " + RequestId(p.data));
      return true;
    };
  }
  for (int i = 0; trouble && i < kLosses; ++i)
    w.At(kFirstLoss + i * kLossInterval, [&] { to_lose = kLostInARow; });
  if (!w.Run(kLength)) return 2;
  uint64_t served = 0;
  for (const auto& c : w.callers) served += c->counts().served;
  const std::string result = "served " + std::to_string(served) +
                             ", datagrams lost " + std::to_string(lost) +
                             ", broken " + std::to_string(w.log.breaks());
  w.log.Write(result);
  std::cout << result << "\n";
  if (served == 0) return 2;
  return w.log.breaks() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  return review::Run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
}
