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
      {"counts only", [](replay_setup& s) { s.policy.learn_speed = false; }},
      {"present", by(placing::kOwner)},
  };
}

}  // namespace radishyard::test
