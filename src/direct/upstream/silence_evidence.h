// Evidence that an upstream is silent: who observes it, and whether the path to
// several upstreams explains it.
#pragma once
#include <cstddef>

#include "base/time.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief Callers that must observe an upstream silent before its flows are
/// reset. The packets of one, however many flows it has, share a path.
inline constexpr size_t kMinSilentCallers = 2;
/// \brief A witness counts this long after its last notice. Callers of a dead
/// upstream retransmit at shorter intervals, and each time leads to a notice.
inline constexpr duration kWitnessRetention = 1s;
/// \brief Silence that begins this shortly before a sign of life is no
/// contradiction: the upstream may have failed in between.
inline constexpr duration kLifeMargin = 20ms;

/// \brief Number of other balancers that observe the upstream silent and whose
/// unanswered data is younger than its last sign of life here.
size_t CountWitnesses(const known_upstream& upstream, time_point now);

/// \brief Number of callers that have retransmitted the same data to the
/// upstream repeatedly since its last sign of life here, as observed by this
/// balancer and by those that CountWitnesses() counts.
size_t CountSilentCallers(const known_upstream& upstream, time_point now);

/// \brief True if most upstreams that lately had traffic here, and more than
/// one, are silent at once: then it is the path to them, or that of the
/// callers.
bool IsPathSuspect(const upstream_directory& directory, time_point now);

}  // namespace radishyard
