// Measures the reassignment of pools after a change of the roster, and the size
// and parsing time of its JSON text.
#include "control/view_builder.h"
#include "roster/forwarding_order.h"
#include "roster/link_topology.h"
#include "roster/roster_json.h"
#include "roster/roster_update.h"
#include "support/cluster_data.h"
#include "support/measure.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint16_t kBasePort = 23000;
constexpr int kRounds = 3;

assignment_inputs MakeAssignmentInputs(const roster& r, size_t self) {
  assignment_inputs inputs;
  inputs.self = r.members[self].id;
  for (const member& m : r.members) inputs.alive.insert(m.id);
  for (const pool_assignment& pool : r.pools)
    inputs.services.insert(pool.service);
  return inputs;
}

double MeasureReassignmentMs(const roster& r) {
  assignment_inputs inputs = MakeAssignmentInputs(r, 1);
  const member_id lost_owner = r.members[0].id;
  inputs.alive.erase(lost_owner);
  for (const pool_assignment& pool : r.pools) {
    if (pool.owner == lost_owner) inputs.may_take_over.insert(pool.service);
  }
  return 1e3 * MinCpuSeconds(kRounds, [&] { ReassignPools(r, inputs); });
}

double MeasureForwardingOrderMs(const roster& r) {
  const assignment_inputs inputs = MakeAssignmentInputs(r, 0);
  return 1e3 * MinCpuSeconds(kRounds, [&] {
           for (const pool_assignment& pool : r.pools)
             ForwardingOrder(r, pool.service, inputs.alive);
         });
}

std::vector<measurement> MeasureBySize(
    const std::string& unit, const std::vector<size_t>& sizes,
    const std::function<roster(size_t)>& make) {
  const std::string by = "by_" + unit;
  measurement no_change{"ownership.reassign_nothing." + by, unit, "ms", {}};
  measurement lost_owner{"ownership.reassign_lost_owner." + by, unit, "ms", {}};
  measurement routes{"ownership.route_orders." + by, unit, "ms", {}};
  measurement bytes{"roster.json." + by, unit, "B", {}};
  measurement parse{"roster.parse." + by, unit, "ms", {}};
  for (const size_t n : sizes) {
    const roster r = make(n);
    const auto size = static_cast<double>(n);
    const assignment_inputs inputs = MakeAssignmentInputs(r, 0);
    no_change.samples.push_back({size, 1e3 * MinCpuSeconds(kRounds, [&] {
                                         ReassignPools(r, inputs);
                                       })});
    lost_owner.samples.push_back({size, MeasureReassignmentMs(r)});
    routes.samples.push_back({size, MeasureForwardingOrderMs(r)});
    const std::string text = ToJson(r);
    bytes.samples.push_back({size, static_cast<double>(text.size())});
    parse.samples.push_back({size, 1e3 * MinCpuSeconds(kRounds, [&] {
                                     findings found;
                                     ParseRoster(text, found);
                                   })});
  }
  return {no_change, lost_owner, routes, bytes, parse};
}

}  // namespace

std::vector<measurement> MeasureOwnership(bench_scale scale) {
  const bool is_full = scale == bench_scale::kFull;
  const size_t services = is_full ? kInstallationServices : 300;
  const std::vector<size_t> members =
      is_full ? std::vector<size_t>{20, 40, kBalancersPerDomain}
              : std::vector<size_t>{5, 10, 20};
  const std::vector<size_t> tables =
      is_full ? std::vector<size_t>{600, 1200, kInstallationServices}
              : std::vector<size_t>{50, 100, 300};
  const service_table table = MakeServiceTable(services);
  std::vector<measurement> all = MeasureBySize(
      "members", members,
      [&](size_t n) { return MakeRoster(table, 0, n, kBasePort); });
  std::vector<measurement> pools =
      MeasureBySize("services", tables, [&](size_t n) {
        return MakeRoster(MakeServiceTable(n), 0, members.back(), kBasePort);
      });
  all.insert(all.end(), pools.begin(), pools.end());
  return all;
}

}  // namespace radishyard
