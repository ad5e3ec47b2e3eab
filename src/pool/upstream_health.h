// Health of an upstream as derived from the traffic (outlier ejection). It
// takes precedence over the health and load pages of the upstream, which lag
// behind or mislead.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Health state of one upstream.
///
/// An upstream is ejected after a few failures in a row, or if several openings
/// have had no response for a while. While it is ejected, it gets one opening
/// as a probe per interval, and the interval doubles with each probe that
/// fails. A probe that succeeds ends the ejection; the upstream then ramps up
/// again.
struct upstream_health {
  /// Openings refused or timed out since the last response to an opening.
  uint32_t failed_openings = 0;
  /// Failed requests since the last complete response, usually broken off by
  /// the upstream after it had begun to respond.
  uint32_t failed_requests = 0;
  /// TCP openings sent since the last response to an opening.
  uint32_t pending_openings = 0;
  time_point pending_since{};  ///< When the first of these was sent.
  bool ejected = false;
  time_point next_probe{};    ///< When an ejected upstream may get an opening.
  duration probe_interval{};  ///< Doubles while probes fail.
};

namespace internal {

/// \brief Whether the upstream gets openings other than probes.
bool IsHealthy(const upstream_health& health, time_point now);

/// \brief Whether the upstream is not healthy and may get one opening as a
/// probe.
bool IsProbeDue(const upstream_health& health, time_point now);

/// \brief Records that an opening was sent. If the upstream is not healthy, the
/// opening is a probe, and the next one is scheduled.
/// \param expects_response True for a TCP opening, which gets a SYN-ACK at
/// once. The response to a UDP request may take long.
void RecordOpeningSent(upstream_health& health, bool expects_response,
                       time_point now);

/// \brief Records a response to an opening. Does not end the ejection of an
/// upstream whose requests failed, until it has completed one.
/// \returns True if this ends an ejection.
bool RecordOpeningResponse(upstream_health& health);

/// \brief Records a request with a complete response.
/// \returns True if this ends an ejection.
bool RecordCompletedRequest(upstream_health& health);

/// \brief Records an opening that was refused or timed out.
void RecordFailedOpening(upstream_health& health, time_point now);

/// \brief Records a request that failed, usually because the upstream broke it
/// off after it had begun to respond.
void RecordFailedRequest(upstream_health& health, time_point now);

}  // namespace internal
}  // namespace radishyard
