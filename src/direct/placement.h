// Chooses the upstream for a new flow.
#pragma once
#include <cstdint>
#include <string>

#include "base/time.h"
#include "direct/upstream_directory.h"

namespace radishyard {

/// \brief Input to the placement of one flow.
struct placement_request {
  std::string service;
  /// Failure domain of this balancer. Its callers are usually in the same one.
  std::string domain;
  /// Mark of an upstream that did not respond to this flow, or 0.
  uint32_t avoided_mark = 0;
  uint64_t flow_hash = 0;  ///< Varies the choice among equal upstreams.
  duration opening_timeout = 25ms;  ///< See OpeningTimeout().
};

/// \brief Chooses the ready upstream that is expected to respond first.
///
/// Healthy upstreams of the balancer's own domain are preferred to those of
/// other domains, then come suspect and failing ones, and last the one that did
/// not respond to this flow. Within a class, the lowest product of flows per
/// slot and response time decides, because flows are long and upstreams differ
/// in speed.
/// \returns null if the service has no ready upstream.
known_upstream* ChooseUpstream(const upstream_directory& directory,
                               const placement_request& request,
                               time_point now);

}  // namespace radishyard
