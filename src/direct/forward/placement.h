// Chooses the upstream for a new flow.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/start_limit/cold_starts.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief Input to the placement of one flow.
struct placement_request {
  std::string service;
  /// Failure domain that is preferred: that of this balancer and usually also
  /// of its callers, or one that takes its overflow; see spill_over.h.
  std::string domain;
  /// Other domains whose upstreams count as suspect; see IsDomainSilent().
  std::vector<std::string> silent_domains;
  /// Mark of an upstream that did not respond to this flow, or 0.
  uint32_t avoided_mark = 0;
  /// Distributes flows over the upstreams that rank equally.
  uint64_t flow_hash = 0;
  /// An upstream with an opening that has been unanswered for longer becomes
  /// suspect; see OpeningTimeout() and IsSuspect().
  duration opening_timeout = 25ms;
  /// `stats.peer_flows` of the upstreams is current; see load_pool.h.
  bool has_peer_flows = false;
  /// Limits of openings on cold upstreams; null if there are none.
  const cold_starts* starts = nullptr;
  /// The present instant for `starts`.
  time_point start_now{};
};

/// \brief Chooses an upstream from the best class that is not empty among the
/// upstreams that take new flows (upstream_directory::ready_by_service). Cold
/// ones that need a grant, with none held here, are left out; see
/// start_limit.h.
///
/// Classes in order of preference:
/// 1. upstreams of the preferred domain that are neither suspect nor
///    failing nor silent to two other balancers;
/// 2. such upstreams of other domains;
/// 3. suspect, failing or silent upstreams of any domain;
/// 4. the upstream that did not respond to this flow (`avoided_mark`).
///
/// Within a class, the upstream with the lowest product of flows per slot and
/// response time is chosen. The number of flows matters because flows last
/// long, and the response time because upstreams differ in speed. If other
/// balancers hold most of the flows, the better of two is chosen instead by
/// their pooled number; see pooled_choice.h.
/// \returns null if no upstream of the service takes new flows.
known_upstream* ChooseUpstream(const upstream_directory& directory,
                               const placement_request& request,
                               time_point now);

/// \brief Chooses the cold upstream for which a grant should be requested: the
/// one on which the flow would have been placed with grants for all upstreams
/// from which one can be expected.
/// \returns null if no grant would change the choice.
known_upstream* ChooseUpstreamToRequest(const upstream_directory& directory,
                                        const placement_request& request,
                                        time_point now);

}  // namespace radishyard
