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
struct pool_counts {
  std::vector<upstream_count> counts;
  uint32_t queue_length = 0;
  uint32_t free_slots = 0;
  auto operator<=>(const pool_counts&) const = default;
};

/// \brief The counts within `load`.
pool_counts CountsOf(const pool_load& load);

/// \brief What turns `before` into `now`; full where an upstream has left or
/// `before` is null, which it is for the first heartbeat of a link.
///
/// \code
/// pool_delta delta = DeltaOf("archive", "rennes", &sent, now);
/// sent = now;
/// \endcode
pool_delta DeltaOf(const std::string& service, const std::string& domain,
                   const pool_counts* before, const pool_counts& now);

/// \brief Takes `delta` up into what the receiver knows.
void Apply(pool_counts& known, const pool_delta& delta);

}  // namespace radishyard
