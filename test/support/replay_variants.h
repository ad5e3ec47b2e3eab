// Baselines and earlier versions of the policy, for replays only.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

/// \brief A way to place, as a change of a setup.
struct variant {
  std::string name;
  std::function<void(replay_setup&)> apply;
};

/// \brief Baselines first, then the product's versions, the present one last.
std::vector<variant> AllVariants();

/// \brief Ways to cut the upstreams into pools.
std::vector<variant> PoolVariants();

/// \brief Ways to keep counts over seven balancers.
std::vector<variant> OwnershipVariants();

}  // namespace radishyard::test
