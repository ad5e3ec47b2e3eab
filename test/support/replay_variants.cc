// Defines the placement variants. Their names are printed by the policy report.
#include "support/replay_variants.h"

namespace radishyard::test {
namespace {

std::function<void(replay_setup&)> UseStrategy(placement_strategy strategy) {
  return [strategy](replay_setup& s) { s.strategy = strategy; };
}

std::function<void(replay_setup&)> SplitIntoPools(size_t pools,
                                                  bool pass_openings) {
  return [pools, pass_openings](replay_setup& s) {
    for (size_t r = 0; r < s.table.upstreams.size(); ++r)
      s.table.upstreams[r].domain = "d" + std::to_string(r % pools);
    s.pass_openings = pass_openings;
  };
}

}  // namespace

std::vector<policy_variant> PoolVariants() {
  return {{"one pool", SplitIntoPools(1, false)},
          {"three by hash", SplitIntoPools(3, false)},
          {"seven by hash", SplitIntoPools(7, false)},
          {"three, openings pass", SplitIntoPools(3, true)},
          {"seven, openings pass", SplitIntoPools(7, true)}};
}

std::vector<policy_variant> OwnershipVariants() {
  return {{"exact counts at an owner", UseStrategy(placement_strategy::kOwner)},
          {"(a) quota leased to each balancer",
           UseStrategy(placement_strategy::kQuota)},
          {"(b) admission asked for each flow",
           UseStrategy(placement_strategy::kAllocator)},
          {"(c) hash, own connections",
           UseStrategy(placement_strategy::kTwoChoices)}};
}

std::vector<policy_variant> AllVariants() {
  return {
      {"round robin", UseStrategy(placement_strategy::kRoundRobin)},
      {"consistent hash", UseStrategy(placement_strategy::kConsistentHash)},
      {"least connections", UseStrategy(placement_strategy::kLeastConnections)},
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
      {"present", UseStrategy(placement_strategy::kOwner)},
  };
}

}  // namespace radishyard::test
