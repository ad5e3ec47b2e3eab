// Messages with which balancers pool the loads that they measure.
// peer/peer_codec encodes them.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "direct/upstream/view_member.h"

namespace radishyard {

/// \brief The load that the callers of one balancer, or of all balancers of a
/// domain, cause on one service in one failure domain of upstreams.
struct load_sample {
  std::string service;
  std::string domain;  ///< Failure domain of the upstreams.
  /// Requests in service or queued, mean over the interval, in thousandths.
  uint32_t busy_milli = 0;
  uint32_t ended_milli_per_s = 0;  ///< Requests that ended, also failed ones.
  uint32_t failures_milli_per_s = 0;  ///< Of these, failed ones.
  auto operator<=>(const load_sample&) const = default;
};

/// \brief What a balancer has measured of its own load since its last report.
struct load_report {
  uint32_t interval_ms = 0;  ///< Time measured; 0 if nothing was.
  std::vector<load_sample> samples;
  /// Open flows on each upstream of the list with the report's digest, by
  /// ascending id; 255 for more. Empty if the list is too long.
  std::vector<uint8_t> upstream_flows;
  auto operator<=>(const load_report&) const = default;
};

/// \brief The sum of the samples of all balancers of one domain.
struct domain_sum {
  std::string domain;   ///< Failure domain of the balancers.
  uint32_t age_ms = 0;  ///< Mean time since its samples were received.
  std::vector<load_sample> samples;
  auto operator<=>(const domain_sum&) const = default;
};

/// \brief The sums that a reader sends to the members of its domain, or the sum
/// of its own domain that it sends to another one.
struct load_notice {
  view_member sender;
  std::vector<domain_sum> sums;
  uint64_t list_digest = 0;  ///< ListDigest() of the list of `upstream_flows`.
  /// Open flows on each upstream of that list, by ascending id, over the
  /// balancers of the sender's domain; empty if not known.
  std::vector<uint16_t> upstream_flows;
  auto operator<=>(const load_notice&) const = default;
};

}  // namespace radishyard
