// Case: the link to one office loses packets for some hundred milliseconds, and
// balancers reset the open flows of other callers.
//
// Usage: silence_case FOLDER SCRATCH PROGRAM TROUBLE
#include <iostream>

#include "world.h"

namespace review {
namespace {

constexpr int kOfficeFlows = 24;
constexpr int kCallers = 12;
constexpr millis kOfficePause{1000};
constexpr millis kCallerPause{1600};
constexpr millis kFirstLoss{4000};
constexpr millis kLossInterval{5000};
constexpr millis kLossLength{800};
constexpr int kLosses = 19;
constexpr millis kLength{99'000};

int Run(const std::string& folder, const std::string& scratch,
        const std::string& program, bool trouble) {
  world w({.folder = folder,
           .scratch = scratch,
           .program = program,
           .edge_zones = {"vannes", "vannes"},
           .server_zones = {"vannes", "vannes", "vannes", "vannes"}});
  if (!w.WaitUntilReady()) return 2;
  const auto office = w.AddCaller("vannes");
  office->StartLongFlows(kOfficeFlows, kOfficePause);
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
  for (int i = 0; trouble && i < kLosses; ++i) {
    const millis at = kFirstLoss + i * kLossInterval;
    w.At(at, [&w, office] {
      w.log.Write("the link to the office begins to lose packets");
      office->SetDownlinkLost(true);
    });
    w.At(at + kLossLength, [&w, office] {
      w.log.Write("the link to the office is whole again, lost so far: " +
                  std::to_string(office->counts().lost_here));
      office->SetDownlinkLost(false);
    });
  }
  if (!w.Run(kLength)) return 2;
  uint64_t served = 0;
  for (const auto& c : w.callers) served += c->counts().served;
  w.log.Write("served " + std::to_string(served) + ", lost " +
              std::to_string(office->counts().lost_here));
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
