// Baselines and earlier versions of the policy.
#include "support/replay_variants.h"

namespace radishyard::test {
namespace {

std::function<void(replay_setup&)> By(placing how) {
  return [how](replay_setup& s) { s.how = how; };
}

std::function<void(replay_setup&)> Cut(size_t pools, bool passing) {
  return [pools, passing](replay_setup& s) {
    for (size_t r = 0; r < s.table.upstreams.size(); ++r)
      s.table.upstreams[r].domain = "d" + std::to_string(r % pools);
    s.passing = passing;
  };
}

}  // namespace

std::vector<variant> PoolVariants() {
  return {{"one pool", Cut(1, false)},
          {"three by hash", Cut(3, false)},
          {"seven by hash", Cut(7, false)},
          {"three, openings pass", Cut(3, true)},
          {"seven, openings pass", Cut(7, true)}};
}

std::vector<variant> OwnershipVariants() {
  return {{"exact counts at an owner", By(placing::kOwner)},
          {"(a) quota leased to each balancer", By(placing::kQuota)},
          {"(b) admission asked for each flow", By(placing::kAllocator)},
          {"(c) hash, own connections", By(placing::kHashLocal)}};
}

std::vector<variant> AllVariants() {
  return {
      {"round robin", By(placing::kRoundRobin)},
      {"consistent hash", By(placing::kConsistentHash)},
      {"least connections", By(placing::kLeastConnections)},
      {"without speed", [](replay_setup& s) { s.policy.learn_speed = false; }},
      {"without bulk cap",
       [](replay_setup& s) {
         s.policy.bulk_cap_percent = 100;
         s.policy.bulk_floor_percent = 0;
         s.policy.max_bulk_wait = s.policy.max_wait;
       }},
      {"without ramps",
       [](replay_setup& s) {
         s.policy.ramp = {};
         s.policy.recovery_ramp = {};
       }},
      {"without caller shares",
       [](replay_setup& s) { s.policy.fair_callers = false; }},
      {"without prediction",
       [](replay_setup& s) { s.policy.refuse_by_prediction = false; }},
      {"without passing", [](replay_setup& s) { s.passing = false; }},
      {"present", By(placing::kOwner)},
  };
}

}  // namespace radishyard::test
