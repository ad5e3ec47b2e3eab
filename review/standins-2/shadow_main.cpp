// Case: another writer leaves entries of a service that nobody routes to; after
// all processes were killed, no request is served any more.
//
// Usage: shadow_case FOLDER SCRATCH PROGRAM TROUBLE
#include <signal.h>

#include <iostream>

#include "world.h"

namespace review {
namespace {

constexpr int kCallers = 10;
constexpr millis kCallerPause{400};
constexpr millis kForeignEntries{5000};
constexpr millis kKill{15'000};
constexpr millis kDown{1400};
constexpr millis kRecovery{12'000};
constexpr millis kRecovered = kKill + kDown + kRecovery;
constexpr millis kLength{50'000};
/// Least share of the requests that must be served, before and after.
constexpr double kLeastShare = 0.25;

struct totals {
  uint64_t served = 0;
  uint64_t failed = 0;
};

totals Count(const world& w) {
  totals t;
  for (const auto& c : w.callers) {
    t.served += c->counts().served;
    t.failed += c->counts().failed;
  }
  return t;
}

double ShareServed(const totals& from, const totals& to) {
  const double served = static_cast<double>(to.served - from.served);
  const double all = served + static_cast<double>(to.failed - from.failed);
  return all > 0 ? served / all : 0;
}

/// Entries of another writer: a service that no route names, and names that
/// sort before those of the servers and end in the same digits.
void PutForeignEntries(world& w) {
  for (const auto& s : w.servers) {
    const std::string name = "bak" + s->name().substr(s->name().find('-'));
    w.store->Put("servers", name,
                 radishyard::platform::MakeUpstreamSpec(
                     "backup-set", ToText(s->at()), "rennes"));
    w.log.Write("another writer puts servers/" + name);
  }
}

int Run(const std::string& folder, const std::string& scratch,
        const std::string& program, bool trouble) {
  world w({.folder = folder,
           .scratch = scratch,
           .program = program,
           .edge_zones = {"rennes", "rennes", "rennes"},
           .server_zones = {"rennes", "rennes", "rennes", "rennes"}});
  if (!w.WaitUntilReady()) return 2;
  for (int i = 0; i < kCallers; ++i)
    w.AddCaller("rennes")->StartFreshFlows(kCallerPause);
  totals before;
  totals recovered;
  if (trouble) w.At(kForeignEntries, [&] { PutForeignEntries(w); });
  w.At(kKill, [&] {
    before = Count(w);
    w.log.Write("all balancers are killed");
    for (edge& e : w.edges) e.program->SendSignal(SIGKILL);
  });
  w.At(kKill + kDown, [&] {
    for (size_t i = 0; i < w.edges.size(); ++i) w.StartEdge(i);
  });
  w.At(kRecovered, [&] { recovered = Count(w); });
  if (!w.Run(kLength)) return 2;
  const double share_before = ShareServed({}, before);
  const double share_after = ShareServed(recovered, Count(w));
  const std::string result =
      "share served before " + std::to_string(share_before) +
      ", after the recovery " + std::to_string(share_after);
  w.log.Write(result);
  std::cout << result << "\n";
  if (share_before < kLeastShare) return 2;
  if (share_after < kLeastShare)
    w.log.Break("RECOVER: less than a quarter is served, " + result);
  return w.log.breaks() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  return review::Run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
}
