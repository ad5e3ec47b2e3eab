// Power of two choices over the pooled number of flows of each upstream, for
// balancers that see a small part of the flows. The pooled numbers are 1 to 3 s
// old and the same on all balancers, so if each took the upstream that looks
// least loaded, all would take the same one.
#pragma once
#include <cstdint>
#include <vector>

#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief An upstream that may be chosen.
struct pooled_candidate {
  known_upstream* upstream = nullptr;
  double speed = 1;  ///< Requests a second that it can serve; above 0.
};

/// \brief Returns a number in [0, 1) that depends on the flow and on `seed`.
/// Draws with different seeds are independent.
double DrawFraction(uint64_t flow_hash, uint64_t seed);

/// \brief True if other balancers hold most of the flows on the upstreams, so
/// that the numbers of this balancer say little of their load.
bool IsOwnCountSmall(const std::vector<known_upstream*>& upstreams);

/// \brief Draws two candidates with probabilities in proportion to their
/// speed, and returns the one with fewer flows for its speed.
/// \returns null if there are no candidates.
known_upstream* ChooseOfTwo(const std::vector<pooled_candidate>& candidates,
                            uint64_t flow_hash);

}  // namespace radishyard
