// Pool loads in heartbeats. A heartbeat carries only the counts that have
// changed since the previous one on the same link.
#pragma once
#include <compare>
#include <string>
#include <vector>

#include "peer/peer_message.h"
#include "pool/pool.h"

namespace radishyard {

/// \brief Usage of a pool's upstreams. The sender of heartbeats keeps what it
/// has sent last on a link, the receiver keeps what results from it.
///
/// Invariant: `counts` is sorted by address, and no address occurs twice.
struct pool_usage {
  std::vector<upstream_usage> counts;
  uint32_t queue_length = 0;
  uint32_t free_slots = 0;
  auto operator<=>(const pool_usage&) const = default;
};

/// \brief Extracts the usage from `load`.
pool_usage ToPoolUsage(const pool_load& load);

/// \brief Computes the difference that turns `previous` into `current`. It is
/// full if an upstream has been removed, or if `previous` is null.
///
/// \code
/// pool_delta delta = ComputePoolDelta("archive", "rennes", &sent, current);
/// sent = current;
/// \endcode
/// \param previous the usage last sent on the link; null for the first
/// heartbeat of a link.
pool_delta ComputePoolDelta(const std::string& service,
                            const std::string& domain,
                            const pool_usage* previous,
                            const pool_usage& current);

/// \brief Applies `delta` to the receiver's copy of the usage.
void ApplyPoolDelta(pool_usage& receiver_usage, const pool_delta& delta);

}  // namespace radishyard
