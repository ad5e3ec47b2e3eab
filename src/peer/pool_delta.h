// Pool loads in heartbeats. A heartbeat carries only the counts that have
// changed since the previous one on the same link.
#pragma once
#include <compare>
#include <string>
#include <vector>

#include "peer/peer_message.h"
#include "pool/pool.h"

namespace radishyard {

/// \brief Counts of a pool's upstreams. The sender of heartbeats keeps those
/// that it sent last on a link, the receiver those that result from them.
/// Invariant: `counts` is sorted by address, and no address occurs twice.
struct pool_usage {
  std::vector<upstream_usage> counts;
  uint32_t queue_length = 0;
  uint32_t free_slots = 0;
  auto operator<=>(const pool_usage&) const = default;
};

/// \brief Extracts the counts from `load`.
pool_usage ToPoolUsage(const pool_load& load);

/// \brief Computes the difference that turns `previous` into `current`. It is
/// full if an upstream has been removed, or if `previous` is null.
///
/// \code
/// pool_delta delta = ComputePoolDelta("archive", "rennes", &sent, current);
/// sent = current;
/// \endcode
/// \param previous the counts last sent on the link; null for the first
/// heartbeat of a link.
pool_delta ComputePoolDelta(const std::string& service,
                            const std::string& domain,
                            const pool_usage* previous,
                            const pool_usage& current);

/// \brief Applies `delta` to the receiver's copy of the counts.
void ApplyPoolDelta(pool_usage& receiver_counts, const pool_delta& delta);

}  // namespace radishyard
