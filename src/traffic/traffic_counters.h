// Counters of a traffic thread.
#pragma once
#include <compare>
#include <cstdint>

namespace radishyard {

/// \brief Totals since the thread started.
struct traffic_counters {
  uint64_t packets = 0;    ///< Datagrams received.
  uint64_t malformed = 0;  ///< Dropped: no valid envelope or packet.
  uint64_t untrusted = 0;  ///< Dropped: sender is neither fabric nor balancer.
  uint64_t no_service =
      0;  ///< Dropped: neither to a service nor from an upstream.
  uint64_t no_pool = 0;    ///< Dropped: no pool of the service is reachable.
  uint64_t forwarded = 0;  ///< Sent to another balancer.
  uint64_t hop_limit = 0;  ///< Dropped after too many balancers.
  uint64_t placed = 0;     ///< Openings placed on an upstream.
  uint64_t queued = 0;     ///< Openings that had to wait.
  uint64_t refused = 0;    ///< Openings refused as not run.
  uint64_t replaced = 0;  ///< Second placements of unanswered or shed openings.
  uint64_t passed = 0;    ///< Waiting openings passed to another pool.
  uint64_t adopted =
      0;  ///< Flows learned from return traffic, witnesses or hand-over.
  uint64_t witness_asked = 0;  ///< Packets of unknown flows sent to witnesses.
  uint64_t witness_answered =
      0;  ///< Questions that this balancer could answer.
  uint64_t stale_answers =
      0;  ///< Dropped: from an upstream that no longer serves the flow.
  uint64_t duplicates = 0;  ///< Dropped: a non-idempotent request seen before.
  uint64_t unsafe_withheld =
      0;  ///< Dropped: no right to place non-idempotent work at that time.
  uint64_t send_failed = 0;  ///< Dropped: the socket took no more.
  auto operator<=>(const traffic_counters&) const = default;
};

}  // namespace radishyard
