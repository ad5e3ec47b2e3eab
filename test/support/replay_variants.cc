// Baselines and earlier versions of the policy.
#include "support/replay_variants.h"

namespace radishyard::test {

std::vector<variant> AllVariants() {
  const auto by = [](placing how) {
    return [how](replay_setup& s) { s.how = how; };
  };
  return {
      {"round robin", by(placing::kRoundRobin)},
      {"consistent hash", by(placing::kConsistentHash)},
      {"least connections", by(placing::kLeastConnections)},
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
      {"present", by(placing::kOwner)},
  };
}

}  // namespace radishyard::test
