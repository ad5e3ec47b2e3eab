// A pool: the upstreams of one service in one failure domain, with exact
// counts, as its owner keeps them, and the decisions over it: free functions of
// (state, event, now).
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"
#include "table/service.h"

namespace radishyard {

/// \brief An opening packet that asks for an upstream.
struct open_request {
  flow_key key;
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  uint64_t token =
      0;  ///< Handed back with the decision; names the held packet.
  auto operator<=>(const open_request&) const = default;
};

/// \brief Why an opening was refused. It did not run.
enum class refusal : uint8_t {
  kNone,
  kNoUpstream,   ///< No upstream that may take new flows.
  kQueueFull,    ///< The queue is as long as its bound.
  kWaitTooLong,  ///< The wait reached its bound, or would by the present rate.
  kCallerShare,  ///< The caller holds its share while others wait.
};

/// \brief Outcome of an opening.
struct open_decision {
  enum class kind : uint8_t { kPlaced, kQueued, kRefused };
  kind what = kind::kRefused;
  uint32_t upstream = 0;  ///< Address, where placed.
  refusal why = refusal::kNone;
  uint64_t token = 0;
  auto operator<=>(const open_decision&) const = default;
};

}  // namespace radishyard
