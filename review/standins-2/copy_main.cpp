// Case: another writer's entry, whose `born` is no number, names a server's id
// and another service; the server then runs requests of that service.
//
// Usage: copy_case FOLDER SCRATCH PROGRAM TROUBLE
#include <iostream>

#include "world.h"

namespace review {
namespace {

constexpr int kCallers = 6;
constexpr millis kCallerPause{400};
constexpr millis kForeignEntry{3000};
constexpr millis kLength{45'000};

/// A copy of the server's entry, of the time when its machine served
/// kOtherService, with one field of another type.
void PutForeignEntry(world& w, const server& of) {
  const std::string name = "bak" + of.name().substr(of.name().find('-'));
  nlohmann::json spec = radishyard::platform::MakeUpstreamSpec(
      kOtherService, ToText(of.at()), "rennes");
  spec["born"] = nullptr;
  w.store->Put("servers", name, spec);
  w.log.Write("another writer puts servers/" + name + " " + spec.dump());
}

int Run(const std::string& folder, const std::string& scratch,
        const std::string& program, bool trouble) {
  world w({.folder = folder,
           .scratch = scratch,
           .program = program,
           .edge_zones = {"rennes", "rennes", "rennes"},
           .server_zones = {"rennes", "rennes", "rennes", "rennes", "rennes"},
           .other_servers = 2});
  if (!w.WaitUntilReady()) return 2;
  for (int i = 0; i < kCallers; ++i) {
    w.AddCaller("rennes")->StartFreshFlows(kCallerPause);
    w.AddCaller("rennes", kOtherRouteIp)->StartFreshFlows(kCallerPause);
  }
  for (const auto& s : w.servers) {
    s->on_run = [&w](const server& at, const address& route,
                     const std::string& id) {
      const bool is_other = at.service() == kOtherService;
      if (is_other == (route.ip == kOtherRouteIp)) return;
      w.log.Break("ROUTE: " + at.name() + " of " + at.service() +
                  " runs request " + id + " to " + ToText(route));
    };
  }
  if (trouble)
    w.At(kForeignEntry, [&] { PutForeignEntry(w, *w.servers.front()); });
  if (!w.Run(kLength)) return 2;
  uint64_t served = 0;
  for (const auto& c : w.callers) served += c->counts().served;
  const std::string result = "served " + std::to_string(served) +
                             ", run by the wrong service " +
                             std::to_string(w.log.breaks());
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
