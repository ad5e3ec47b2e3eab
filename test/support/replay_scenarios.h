// Scenarios in which the placement policy is measured, for the workloads of two
// deployments.
#pragma once
#include <string>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

/// \brief A deployment whose latencies, slots and requests are imitated.
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

/// \brief A steady load of requests, 3% of them long, with about 4,000 feeds
/// open.
scenario FeedsAndRequests(workload w, double load, uint64_t seed);

/// \brief 20% of the capacity; from 10 s to 15 s ten times that, twice the
/// capacity.
scenario PeakLoad(workload w, uint64_t seed);

/// \brief A steady load of 70% of the capacity, with `fault` from 10 s to 25 s.
scenario LoadWithFault(workload w, upstream_fault fault, uint64_t seed);

/// \brief A steady load; an upstream joins at 10 s and is cold for 5 s.
scenario UpstreamJoins(workload w, double load, uint64_t seed);

/// \brief Ten callers whose requests amount to 1.2 times the capacity, and one
/// that sends as many as they do together.
scenario GreedyCaller(workload w, uint64_t seed);

/// \brief As PeakLoad(); the owner of the first pool is lost during the peak,
/// one upstream is slow, and one drops its openings without a response.
scenario PeakLoadWithLostBalancer(workload w, uint64_t seed);

/// Address of the caller that sends more than its share.
inline constexpr uint32_t kGreedyCaller = 0x0a00ffff;

}  // namespace radishyard::test
