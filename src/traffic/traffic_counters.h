// Counters of a traffic thread. The metrics and status pages show them under
// the same names.
#pragma once
#include <compare>
#include <cstdint>

namespace radishyard {

/// \brief Totals since the thread started.
struct traffic_counters {
  uint64_t packets = 0;    ///< Datagrams received.
  uint64_t malformed = 0;  ///< Dropped: no valid Geneve header or packet.
  uint64_t untrusted = 0;  ///< Dropped: the sender is neither fabric nor
                           ///< balancer.
  uint64_t no_service =
      0;  ///< Dropped: neither sent to a service nor by an upstream.
  uint64_t no_pool = 0;    ///< Dropped: no pool of the service is reachable.
  uint64_t forwarded = 0;  ///< Sent to another balancer.
  uint64_t hop_limit = 0;  ///< Dropped after kMaxHops forwarding steps.
  uint64_t placed = 0;     ///< Openings placed on an upstream.
  uint64_t queued = 0;     ///< Openings that had to wait for an upstream.
  uint64_t refused = 0;    ///< Openings refused before execution.
  uint64_t refused_evacuated = 0;  ///< Those refused because all domains with
                                   ///< upstreams for them are evacuated.
  uint64_t replaced = 0;  ///< Openings placed again after no response or a
                          ///< reset by the upstream.
  uint64_t passed = 0;    ///< Waiting openings passed to another pool.
  uint64_t adopted =
      0;  ///< Flows recorded from return traffic, lookups or a handover.
  uint64_t witness_asked = 0;     ///< Upstream lookups sent for unknown flows.
  uint64_t witness_answered = 0;  ///< Upstream lookups replied to.
  uint64_t stale_answers =
      0;  ///< Dropped responses: from an upstream that does not serve the
          ///< flow now, or part of a response to a request whose other parts
          ///< may be lost.
  uint64_t duplicates = 0;  ///< Dropped: duplicates of UDP requests.
  uint64_t unsafe_withheld =
      0;  ///< Dropped: without the lease that a non-idempotent request needs,
          ///< without the roster that names its owner, or not refused since
          ///< the request may have been executed.
  uint64_t send_failed = 0;  ///< Dropped: the socket returned an error.
  auto operator<=>(const traffic_counters&) const = default;
};

}  // namespace radishyard
