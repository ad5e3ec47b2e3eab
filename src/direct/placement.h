// Which upstream a new flow goes to.
#pragma once
#include <cstdint>
#include <string>

#include "base/time.h"
#include "direct/upstream_directory.h"

namespace radishyard {

/// \brief What is known of a flow that is to be placed.
struct placement_request {
  std::string service;
  std::string domain;  ///< Of the balancer; callers come from nearby.
  uint32_t avoided_mark =
      0;                   ///< Mark of an upstream that did not answer, or 0.
  uint64_t flow_hash = 0;  ///< Breaks ties differently for each flow.
  duration opening_timeout = 25ms;  ///< An opening is overdue after this time.
};

/// \brief The ready upstream that is expected to answer first.
///
/// Upstreams of the own domain go before others, and those in doubt come last.
/// Among equals, the least product of flows and time to answer decides: flows
/// last long and upstreams differ in speed.
/// \returns null where the service has no ready upstream.
known_upstream* ChooseUpstream(const upstream_directory& directory,
                               const placement_request& request,
                               time_point now);

}  // namespace radishyard
