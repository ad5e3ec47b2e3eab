// Evidence that an upstream leaves data unanswered, shared between the
// balancers of a failure domain. One balancer alone cannot tell a dead upstream
// from packets that are lost on its own link, so it resets a flow only if
// another one observes the same.
#pragma once
#include <cstddef>
#include <optional>

#include "base/time.h"
#include "direct/forwarder.h"
#include "direct/upstream_directory.h"
#include "direct/view_message.h"

namespace radishyard {

/// \brief Most witnesses kept for one upstream.
inline constexpr size_t kMaxSilenceWitnesses = 4;
/// \brief A witness counts this long after its last notice. Callers of a dead
/// upstream retransmit at shorter intervals, and each time leads to a notice.
inline constexpr duration kWitnessRetention = 1s;
/// \brief Least time between two notices about one upstream.
inline constexpr duration kNoticeInterval = 100ms;

/// \brief Makes the notice about an upstream to which a caller has just
/// retransmitted data, and records that it is sent at `now`.
/// \returns nothing if the upstream has answered since, if a notice was sent
/// within kNoticeInterval, or if the packets of callers arrive here late.
std::optional<silence_notice> MakeSilenceNotice(forwarding_state& state,
                                                upstream_id upstream,
                                                time_point now);

/// \brief Applies a notice of another balancer: its silent upstreams get it as
/// a witness, and its signs of life count like those of this balancer.
/// \returns the upstreams that the notice calls silent and that have shown a
/// sign of life here since; nothing if there are none.
std::optional<silence_notice> ApplySilenceNotice(forwarding_state& state,
                                                 const silence_notice& notice,
                                                 time_point now);

/// \brief Number of other balancers that observe the upstream silent and whose
/// unanswered data is younger than its last sign of life here.
size_t CountWitnesses(const known_upstream& upstream, time_point now);

}  // namespace radishyard
