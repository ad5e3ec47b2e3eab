// Placement variants that replays compare: baselines, and the policy with
// single mechanisms switched off.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

/// \brief A placement variant, as a change to a setup.
struct policy_variant {
  std::string name;
  std::function<void(replay_setup&)> apply;
};

/// \brief The baselines, then the policy without one mechanism each, and last
/// the complete policy.
std::vector<policy_variant> AllVariants();

/// \brief Numbers of pools, with and without openings passed between them.
std::vector<policy_variant> PoolVariants();

/// \brief Ways to keep the counts of flows across seven balancers.
std::vector<policy_variant> OwnershipVariants();

}  // namespace radishyard::test
