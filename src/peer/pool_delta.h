// Loads of pools as heartbeats carry them: only the counts that changed.
#pragma once
#include <compare>
#include <string>
#include <vector>

#include "peer/peer_message.h"
#include "pool/pool.h"

namespace radishyard {

/// \brief Counts of a pool's upstreams as both ends of a link know them.
/// Invariant: `counts` is sorted by address, each address once.
struct pool_usage {
  std::vector<upstream_usage> counts;
  uint32_t queue_length = 0;
  uint32_t free_slots = 0;
  auto operator<=>(const pool_usage&) const = default;
};

/// \brief The counts within `load`.
pool_usage ToPoolUsage(const pool_load& load);

/// \brief What turns `before` into `now`; full where an upstream has left or
/// `before` is null, which it is for the first heartbeat of a link.
///
/// \code
/// pool_delta delta = ComputePoolDelta("archive", "rennes", &sent, now);
/// sent = now;
/// \endcode
pool_delta ComputePoolDelta(const std::string& service,
                            const std::string& domain, const pool_usage* before,
                            const pool_usage& now);

/// \brief Takes `delta` up into what the receiver knows.
void ApplyPoolDelta(pool_usage& known, const pool_delta& delta);

}  // namespace radishyard
