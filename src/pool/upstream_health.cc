// Ejection by evidence, and probes.
#include "pool/upstream_health.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

constexpr uint32_t kFailuresToEject = 3;
constexpr uint32_t kSilentOpenings = 3;
constexpr duration kSilence = 300ms;  // Far above any round trip.
constexpr duration kFirstProbe = 500ms;
constexpr duration kSlowestProbe = 8s;

bool IsSilent(const upstream_health& health, time_point now) {
  return health.unanswered >= kSilentOpenings &&
         now - health.silent_since >= kSilence;
}

void Eject(upstream_health& health, time_point now) {
  health.probe_interval =
      health.ejected ? std::min(kSlowestProbe, 2 * health.probe_interval)
                     : kFirstProbe;
  health.ejected = true;
  health.probe_at = now + health.probe_interval;
}

// A failure that arrives late, of an opening sent before the ejection, must not
// lengthen the interval again.
void EjectOnce(upstream_health& health, time_point now) {
  if (!health.ejected || now >= health.probe_at - health.probe_interval / 2)
    Eject(health, now);
}

bool Return(upstream_health& health) {
  const bool was_ejected = health.ejected;
  health.ejected = false;
  return was_ejected;
}

}  // namespace

bool IsHealthy(const upstream_health& health, time_point now) {
  return !health.ejected && !IsSilent(health, now);
}

bool IsProbeDue(const upstream_health& health, time_point now) {
  return !IsHealthy(health, now) && now >= health.probe_at;
}

void Sent(upstream_health& health, bool expects_answer, time_point now) {
  if (!IsHealthy(health, now)) Eject(health, now);  // Until the next probe.
  if (!expects_answer) return;
  if (health.unanswered == 0) health.silent_since = now;
  ++health.unanswered;
}

bool NoteAnswer(upstream_health& health) {
  health.failures = 0;
  health.unanswered = 0;
  // One that breaks requests off has to finish one first.
  return health.unfinished < kFailuresToEject && Return(health);
}

bool NoteWhole(upstream_health& health) {
  health.unfinished = 0;
  return health.failures < kFailuresToEject && Return(health);
}

void NoteFailure(upstream_health& health, time_point now) {
  if (++health.failures >= kFailuresToEject) EjectOnce(health, now);
}

void NoteBroken(upstream_health& health, time_point now) {
  if (++health.unfinished >= kFailuresToEject) EjectOnce(health, now);
}

}  // namespace radishyard::internal
