// The situations that the policy is measured in, for both users' sizes.
#pragma once
#include <string>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

enum class workload { kArmor, kAtlasColle };

/// \brief A setup with its trace.
struct scenario {
  replay_setup setup;
  std::vector<trace_flow> trace;
};

/// \brief A steady load of requests as a share of the capacity.
/// \param long_share Share of requests that run 30 times longer.
scenario SteadyLoad(workload w, double load, double long_share, uint64_t seed);

/// \brief 10,000 feeds open over upstreams of different weights.
scenario ManyFeeds(workload w, uint64_t seed);

/// \brief Steady requests, 3% long, with about 4,000 feeds open.
scenario FeedsAndRequests(workload w, double load, uint64_t seed);

/// \brief A tenth of the crest's rate, then from 10 s to 15 s tenfold, which is
/// twice the capacity.
scenario PeakLoad(workload w, uint64_t seed);

/// \brief Steady 70% with `fault` from 10 s to 25 s.
scenario LoadWithFault(workload w, upstream_fault fault, uint64_t seed);

/// \brief An upstream joins at 10 s and is cold for 5 s.
scenario UpstreamJoins(workload w, double load, uint64_t seed);

/// \brief Ten callers at 1.2 times the capacity together, and one at as much
/// again.
scenario GreedyCaller(workload w, uint64_t seed);

/// \brief The crest with a balancer lost in it, one upstream slow and one that
/// swallows its openings.
scenario PeakLoadWithLostBalancer(workload w, uint64_t seed);

inline constexpr uint32_t kGreedyCaller = 0x0a00ffff;

}  // namespace radishyard::test
