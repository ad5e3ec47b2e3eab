// What traffic tells about the health of an upstream: it ranks above the
// upstream's own health and load pages, which lag or mislead.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Evidence about one upstream.
///
/// After a few failures in a row, or silence after several openings, the
/// upstream is ejected: it gets one opening as a probe per interval, and the
/// interval doubles with each probe that fails. An answered probe ends the
/// ejection; the upstream then ramps up again.
struct upstream_health {
  uint32_t failures = 0;  ///< Since the last answer.
  uint32_t unfinished =
      0;  ///< Requests broken off since the last whole answer.
  uint32_t unanswered = 0;    ///< TCP openings since the last answer.
  time_point silent_since{};  ///< First of these.
  bool ejected = false;
  time_point probe_at{};      ///< Next opening let through while ejected.
  duration probe_interval{};  ///< Doubles while probes fail.
};

namespace internal {

/// \brief Whether the upstream takes regular openings.
bool IsHealthy(const upstream_health& health, time_point now);

/// \brief Whether an ejected upstream may get one opening as a probe.
bool IsProbeDue(const upstream_health& health, time_point now);

/// \brief An opening was sent; a TCP one is expected to be answered at once.
void Sent(upstream_health& health, bool expects_answer, time_point now);

/// \brief An opening was answered. True where this ends an ejection.
bool NoteAnswer(upstream_health& health);

/// \brief A request ended whole. True where this ends an ejection.
bool NoteWhole(upstream_health& health);

/// \brief An opening was shed or went unanswered.
void NoteFailure(upstream_health& health, time_point now);

/// \brief A request that had been answered was broken off by the upstream.
void NoteBroken(upstream_health& health, time_point now);

}  // namespace internal
}  // namespace radishyard
