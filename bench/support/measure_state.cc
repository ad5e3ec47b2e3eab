// What a control thread holds, and what it spends while nothing happens.
#include <utility>

#include "control/view_builder.h"
#include "support/bench_cluster.h"
#include "support/measure.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint16_t kPort = 24000;

}  // namespace

// One balancer that runs alone in its domain, with the rosters of the other
// domains at full size. It finds none of their balancers.
std::vector<measurement> MeasureControlState(extent how_much) {
  const bool is_full = how_much == extent::kFull;
  const std::vector<size_t> sizes =
      is_full ? std::vector<size_t>{250, 1000, kFullServices}
              : std::vector<size_t>{20, 50, 100};
  const size_t members = is_full ? kFullMembers : 5;
  const duration time = is_full ? 5s : 1s;
  measurement table_bytes{"memory.table", "services", "B", {}};
  measurement roster_bytes{"memory.rosters", "services", "B", {}};
  measurement view_bytes{"memory.view", "services", "B", {}};
  measurement all_bytes{"memory.control_thread", "services", "B", {}};
  measurement spent{"control.processor_idle", "services", "% of a core", {}};
  for (const size_t services : sizes) {
    const auto size = static_cast<double>(services);
    size_t before = HeldBytes();
    const auto since = [&before] {
      const size_t now = HeldBytes();
      return static_cast<double>(now - std::exchange(before, now));
    };
    const service_table table = MakeTable(services);
    table_bytes.samples.push_back({size, since()});
    routing_view_inputs inputs;
    inputs.self = MakeMember(0, 0, kPort).id;
    for (size_t d = 0; d < kFullDomains; ++d)
      inputs.rosters[DomainName(d)] = MakeRoster(table, d, members, kPort);
    roster_bytes.samples.push_back({size, since()});
    const routing_view view = BuildRoutingView(table, inputs);
    view_bytes.samples.push_back({size, since()});
    control_fleet fleet({1, services, kFullDomains, members});
    since();
    fleet.Run(2s);
    all_bytes.samples.push_back({size, since()});
    const double spent_before = ThreadSeconds();
    fleet.Run(time);
    spent.samples.push_back(
        {size, 100 * (ThreadSeconds() - spent_before) /
                   std::chrono::duration<double>(time).count()});
  }
  return {table_bytes, roster_bytes, view_bytes, all_bytes, spent};
}

}  // namespace radishyard
