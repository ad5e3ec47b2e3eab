// Messages about upstreams that leave data unanswered; see silence.h.
// peer/peer_codec encodes them.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief An upstream and the time since an event.
struct upstream_age {
  uint64_t upstream = 0;
  uint32_t age_ms = 0;
  auto operator<=>(const upstream_age&) const = default;
};

/// \brief An upstream that leaves data unanswered.
struct silent_upstream {
  /// Fields that every version of the protocol has; see peer/peer_codec.
  static constexpr size_t kRequiredFields = 2;
  uint64_t upstream = 0;
  uint32_t age_ms = 0;  ///< Since the first unanswered data was forwarded.
  /// IPv4 addresses of callers that have retransmitted the same data
  /// repeatedly; see silent_caller.
  std::vector<uint32_t> callers;
  auto operator<=>(const silent_upstream&) const = default;
};

/// \brief Tells other balancers of upstreams that leave data unanswered, or
/// contradicts such a notice.
struct silence_notice {
  endpoint sender;
  std::vector<silent_upstream> silent;
  std::vector<upstream_age> alive;  ///< Since the last sign of life.
  auto operator<=>(const silence_notice&) const = default;
};

}  // namespace radishyard
