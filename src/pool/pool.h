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
  duration prior_wait{};  ///< Time spent before, at other balancers and pools;
                          ///< it counts against the longest wait.
  /// Address of the upstream that answered this request before: taken if it has
  /// room, so that parts of its answers are not joined with another's.
  uint32_t preferred = 0;
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

/// \brief What an open flow holds at its upstream.
struct flow_reservation {
  uint32_t upstream = 0;  ///< Address.
  uint32_t caller = 0;    ///< Address of the caller.
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  auto operator<=>(const flow_reservation&) const = default;
};

/// \brief What `request` holds once it is placed at `upstream`.
inline flow_reservation ReservationFor(const open_request& request,
                                       uint32_t upstream) {
  return {upstream, request.key.caller.address, request.kind, request.priority};
}

/// \brief How a flow ended, as far as it tells about its upstream.
enum class flow_end : uint8_t {
  kCompleted,  ///< The answer was whole: teaches the speed of the upstream.
  kFailed,     ///< Unanswered, shed or reset by the upstream.
  kAbandoned,  ///< Ended by the caller or by idleness: teaches nothing.
};

/// \brief Counts of one upstream, for heartbeats, metrics and the status page.
struct upstream_load {
  uint32_t address = 0;
  uint32_t connections = 0;  ///< Open flows, inherited ones included.
  uint32_t slots = 0;        ///< Requests in progress.
  uint32_t speed_milli = 0;  ///< Learned speed against the pool's, in 1/1000.
  bool ejected = false;      ///< Gets probes only.
  auto operator<=>(const upstream_load&) const = default;
};

/// \brief Load of a pool.
struct pool_load {
  std::vector<upstream_load> upstreams;
  uint32_t waiting = 0;     ///< Openings in the queue.
  uint32_t free_slots = 0;  ///< Over the upstreams that take new work.
  uint64_t weight = 0;      ///< Weight of those upstreams.
  auto operator<=>(const pool_load&) const = default;
};

}  // namespace radishyard
