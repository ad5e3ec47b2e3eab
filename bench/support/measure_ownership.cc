// Ownership on a roster change, and the roster as it travels.
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

constexpr uint16_t kPort = 23000;
constexpr int kRounds = 3;

assignment_inputs ViewOf(const roster& r, size_t self) {
  assignment_inputs view;
  view.self = r.members[self].id;
  for (const member& m : r.members) view.alive.insert(m.id);
  for (const pool_assignment& pool : r.pools)
    view.services.insert(pool.service);
  return view;
}

double MillisecondsOfTakeOver(const roster& r) {
  assignment_inputs view = ViewOf(r, 1);
  const member_id lost = r.members[0].id;
  view.alive.erase(lost);
  for (const pool_assignment& pool : r.pools) {
    if (pool.owner == lost) view.may_take_over.insert(pool.service);
  }
  return 1e3 * SecondsOf(kRounds, [&] { ReassignPools(r, view); });
}

double MillisecondsOfRoutes(const roster& r) {
  const assignment_inputs view = ViewOf(r, 0);
  return 1e3 * SecondsOf(kRounds, [&] {
           for (const pool_assignment& pool : r.pools)
             ForwardingOrder(r, pool.service, view.alive);
         });
}

std::vector<measurement> Sweep(const std::string& unit,
                               const std::vector<size_t>& sizes,
                               const std::function<roster(size_t)>& make) {
  const std::string by = "by_" + unit;
  measurement idle{"ownership.reassign_nothing." + by, unit, "ms", {}};
  measurement lost{"ownership.reassign_lost_owner." + by, unit, "ms", {}};
  measurement routes{"ownership.route_orders." + by, unit, "ms", {}};
  measurement bytes{"roster.json." + by, unit, "B", {}};
  measurement parse{"roster.parse." + by, unit, "ms", {}};
  for (const size_t n : sizes) {
    const roster r = make(n);
    const auto size = static_cast<double>(n);
    const assignment_inputs view = ViewOf(r, 0);
    idle.samples.push_back(
        {size, 1e3 * SecondsOf(kRounds, [&] { ReassignPools(r, view); })});
    lost.samples.push_back({size, MillisecondsOfTakeOver(r)});
    routes.samples.push_back({size, MillisecondsOfRoutes(r)});
    const std::string text = ToJson(r);
    bytes.samples.push_back({size, static_cast<double>(text.size())});
    parse.samples.push_back({size, 1e3 * SecondsOf(kRounds, [&] {
                                     findings found;
                                     ParseRoster(text, found);
                                   })});
  }
  return {idle, lost, routes, bytes, parse};
}

}  // namespace

std::vector<measurement> MeasureOwnership(extent how_much) {
  const bool is_full = how_much == extent::kFull;
  const size_t services = is_full ? kFullServices : 300;
  const std::vector<size_t> members =
      is_full ? std::vector<size_t>{20, 40, kFullMembers}
              : std::vector<size_t>{5, 10, 20};
  const std::vector<size_t> tables =
      is_full ? std::vector<size_t>{600, 1200, kFullServices}
              : std::vector<size_t>{50, 100, 300};
  const service_table table = MakeTable(services);
  std::vector<measurement> all = Sweep("members", members, [&](size_t n) {
    return MakeRoster(table, 0, n, kPort);
  });
  std::vector<measurement> pools = Sweep("services", tables, [&](size_t n) {
    return MakeRoster(MakeTable(n), 0, members.back(), kPort);
  });
  all.insert(all.end(), pools.begin(), pools.end());
  return all;
}

}  // namespace radishyard
