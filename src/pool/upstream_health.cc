// Ejects upstreams that fail or do not respond, and schedules probes.
#include "pool/upstream_health.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

// Failures in a row, counted separately for openings and for requests.
constexpr uint32_t kFailuresToEject = 3;
// An upstream is unresponsive if this many openings have had no response and
// the first of them was sent this long ago, far above any round trip.
constexpr uint32_t kMinPendingOpenings = 3;
constexpr duration kUnresponsiveAfter = 300ms;
constexpr duration kMinProbeInterval = 500ms;
constexpr duration kMaxProbeInterval = 8s;

bool IsUnresponsive(const upstream_health& health, time_point now) {
  return health.pending_openings >= kMinPendingOpenings &&
         now - health.pending_since >= kUnresponsiveAfter;
}

// Ejects the upstream, or doubles the probe interval if it is ejected already.
void Eject(upstream_health& health, time_point now) {
  health.probe_interval =
      health.ejected ? std::min(kMaxProbeInterval, 2 * health.probe_interval)
                     : kMinProbeInterval;
  health.ejected = true;
  health.next_probe = now + health.probe_interval;
}

// Ejects unless the last ejection or probe was less than half an interval ago.
// A late failure of an opening that was sent before the ejection must not
// lengthen the interval again.
void EjectUnlessRecent(upstream_health& health, time_point now) {
  if (!health.ejected || now >= health.next_probe - health.probe_interval / 2)
    Eject(health, now);
}

// \returns True if the upstream was ejected.
bool EndEjection(upstream_health& health) {
  const bool was_ejected = health.ejected;
  health.ejected = false;
  return was_ejected;
}

}  // namespace

bool IsHealthy(const upstream_health& health, time_point now) {
  return !health.ejected && !IsUnresponsive(health, now);
}

bool IsProbeDue(const upstream_health& health, time_point now) {
  return !IsHealthy(health, now) && now >= health.next_probe;
}

void RecordOpeningSent(upstream_health& health, bool expects_response,
                       time_point now) {
  // This is a probe: no other opening is sent until the next one is due.
  if (!IsHealthy(health, now)) Eject(health, now);
  if (!expects_response) return;
  if (health.pending_openings == 0) health.pending_since = now;
  ++health.pending_openings;
}

bool RecordOpeningResponse(upstream_health& health) {
  health.failed_openings = 0;
  health.pending_openings = 0;
  // An upstream whose requests failed must complete one first.
  return health.failed_requests < kFailuresToEject && EndEjection(health);
}

bool RecordCompletedRequest(upstream_health& health) {
  health.failed_requests = 0;
  return health.failed_openings < kFailuresToEject && EndEjection(health);
}

void RecordFailedOpening(upstream_health& health, time_point now) {
  if (++health.failed_openings >= kFailuresToEject)
    EjectUnlessRecent(health, now);
}

void RecordFailedRequest(upstream_health& health, time_point now) {
  if (++health.failed_requests >= kFailuresToEject)
    EjectUnlessRecent(health, now);
}

}  // namespace radishyard::internal
