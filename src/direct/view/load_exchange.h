// The messages that carry loads between balancers, made from and applied to the
// state of one. peer_exchange sends and receives them.
//
// Members report their measurement to the members of their domain. The readers
// of a domain, which all members report to, send the sum of the domain to all
// members and to one balancer of each other domain, once a second or more
// often. A sum that arrives from another domain goes on with the next notice of
// a reader.
#pragma once
#include <optional>

#include "base/time.h"
#include "direct/forward/forwarder.h"
#include "direct/load/load_message.h"

namespace radishyard {

/// \brief Completes the measurement for the next report. Must be called before
/// ExtractOutcomes(), which resets the outcomes that it counts.
/// \returns an empty report while the part is off.
load_report MeasureLoad(forwarding_state& state, time_point now);

/// \brief Updates the sum of the own domain from the members that report to
/// this balancer, if it is a reader or no reader has sent one lately.
/// \param members other members of the domain: the live ones at a reader,
/// which hears all of them, and the known ones elsewhere.
void UpdateOwnSum(forwarding_state& state, bool is_reader, size_t members,
                  time_point now);

/// \brief Makes the notice of a reader for the members of its domain: all
/// fresh sums, and the flows of upstreams.
load_notice MakeMemberNotice(const forwarding_state& state,
                             const view_member& self, time_point now);

/// \brief Makes the notice for another domain: the sum of the own one.
/// \returns nothing if the sum is unknown.
std::optional<load_notice> MakeDomainNotice(const forwarding_state& state,
                                            const view_member& self,
                                            time_point now);

/// \brief Applies a notice.
/// \returns true if it brought fresher sums from another domain, so that a
/// member that is no reader must forward it to the readers.
bool ApplyLoadNotice(forwarding_state& state, const load_notice& notice,
                     time_point now);

}  // namespace radishyard
