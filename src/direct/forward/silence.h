// Evidence that an upstream leaves data unanswered, shared between the
// balancers of a failure domain. One balancer alone cannot tell a dead upstream
// from packets that are lost on its own link, and the packets of one caller
// cannot tell it from a path of that caller that loses packets. So a flow is
// reset only if several callers observe the same, and another balancer too.
#pragma once
#include <cstddef>
#include <optional>

#include "base/time.h"
#include "direct/forward/forwarder.h"
#include "direct/forward/silence_message.h"
#include "direct/upstream/silence_evidence.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief Most witnesses kept for one upstream.
inline constexpr size_t kMaxSilenceWitnesses = 4;
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

/// \brief True if the upstream itself is silent: kMinSilentCallers observe it,
/// another balancer does if there is any, and neither the path to the upstreams
/// nor that of the callers explains it.
bool IsSilenceProven(const forwarding_state& state,
                     const known_upstream& upstream, time_point now);

}  // namespace radishyard
