// Baselines and earlier versions of the policy.
#include "support/replay_variants.h"

namespace radishyard::test {
namespace {

std::function<void(replay_setup&)> By(placement_strategy strategy) {
  return [strategy](replay_setup& s) { s.strategy = strategy; };
}

std::function<void(replay_setup&)> Cut(size_t pools, bool pass_openings) {
  return [pools, pass_openings](replay_setup& s) {
    for (size_t r = 0; r < s.table.upstreams.size(); ++r)
      s.table.upstreams[r].domain = "d" + std::to_string(r % pools);
    s.pass_openings = pass_openings;
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
  return {
      {"exact counts at an owner", By(placement_strategy::kOwner)},
      {"(a) quota leased to each balancer", By(placement_strategy::kQuota)},
      {"(b) admission asked for each flow", By(placement_strategy::kAllocator)},
      {"(c) hash, own connections", By(placement_strategy::kHashLocal)}};
}

std::vector<variant> AllVariants() {
  return {
      {"round robin", By(placement_strategy::kRoundRobin)},
      {"consistent hash", By(placement_strategy::kConsistentHash)},
      {"least connections", By(placement_strategy::kLeastConnections)},
      {"without speed",
       [](replay_setup& s) { s.policy.use_observed_speed = false; }},
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
       [](replay_setup& s) { s.policy.enforce_caller_share = false; }},
      {"without prediction",
       [](replay_setup& s) { s.policy.refuse_on_predicted_wait = false; }},
      {"without passing", [](replay_setup& s) { s.pass_openings = false; }},
      {"present", By(placement_strategy::kOwner)},
  };
}

}  // namespace radishyard::test
