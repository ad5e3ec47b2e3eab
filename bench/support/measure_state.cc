// Measures the memory of a control thread and its processor time while idle.
#include <utility>

#include "control/view_builder.h"
#include "support/bench_cluster.h"
#include "support/measure.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint16_t kBasePort = 24000;

}  // namespace

// One balancer runs alone in its domain. The rosters of the other domains have
// their full size, but their balancers do not run.
std::vector<measurement> MeasureControlState(bench_scale scale) {
  const bool is_full = scale == bench_scale::kFull;
  const std::vector<size_t> sizes =
      is_full ? std::vector<size_t>{250, 1000, kInstallationServices}
              : std::vector<size_t>{20, 50, 100};
  const size_t members = is_full ? kBalancersPerDomain : 5;
  const duration time = is_full ? 5s : 1s;
  measurement table_bytes{"memory.table", "services", "B", {}};
  measurement roster_bytes{"memory.rosters", "services", "B", {}};
  measurement view_bytes{"memory.view", "services", "B", {}};
  measurement all_bytes{"memory.control_thread", "services", "B", {}};
  measurement cpu_time{"control.processor_idle", "services", "% of a core", {}};
  for (const size_t services : sizes) {
    const auto size = static_cast<double>(services);
    size_t before = AllocatedBytes();
    const auto allocated_since = [&before] {
      const size_t now = AllocatedBytes();
      return static_cast<double>(now - std::exchange(before, now));
    };
    const service_table table = MakeServiceTable(services);
    table_bytes.samples.push_back({size, allocated_since()});
    routing_view_inputs inputs;
    inputs.self = MakeMember(0, 0, kBasePort).id;
    for (size_t d = 0; d < kInstallationDomains; ++d)
      inputs.rosters[DomainName(d)] = MakeRoster(table, d, members, kBasePort);
    roster_bytes.samples.push_back({size, allocated_since()});
    const routing_view view = BuildRoutingView(table, inputs);
    view_bytes.samples.push_back({size, allocated_since()});
    bench_cluster cluster({1, services, kInstallationDomains, members});
    allocated_since();
    cluster.Run(2s);
    all_bytes.samples.push_back({size, allocated_since()});
    const double cpu_time_before = ThreadCpuSeconds();
    cluster.Run(time);
    cpu_time.samples.push_back(
        {size, 100 * (ThreadCpuSeconds() - cpu_time_before) /
                   std::chrono::duration<double>(time).count()});
  }
  return {table_bytes, roster_bytes, view_bytes, all_bytes, cpu_time};
}

}  // namespace radishyard
