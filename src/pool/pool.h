// Inputs and results of the decisions about the openings of a pool. A pool is
// the set of upstreams of one service in one failure domain; its owner, one
// balancer, counts the flows at each upstream. The functions that decide are in
// pool_state.h.
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

/// \brief Request to place the opening of a flow on an upstream.
struct open_request {
  flow_key key;
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  /// Identifies the packet that the balancer keeps until the decision; copied
  /// into the decision.
  uint64_t token = 0;
  /// Time that the opening waited before, at other balancers and pools. It
  /// is added to the wait that is compared with the maximum.
  duration prior_wait{};
  /// Address of the upstream that responded to this request before; 0 for none.
  /// It is chosen if it has room: a caller that repeats a request because it
  /// lost a part of the response combines both responses, so both must come
  /// from the same upstream.
  uint32_t preferred_upstream = 0;
  auto operator<=>(const open_request&) const = default;
};

/// \brief Why an opening was refused before execution: no upstream has received
/// it.
enum class refusal : uint8_t {
  kNone,
  kNoUpstream,  ///< No upstream of the pool accepts new flows.
  kEvacuated,   ///< None does, because the pool's domain is evacuated.
  kQueueFull,   ///< The queue has reached its maximum length.
  /// The opening has waited for the maximum time, or is predicted to wait
  /// longer.
  kWaitTooLong,
  /// The caller already has its full share of the connections while few are
  /// free, or its opening would wait too long because the caller has queued
  /// more openings than its share.
  kCallerOverShare,
};

/// \brief Decision on an opening.
struct open_decision {
  enum class kind : uint8_t { kPlaced, kQueued, kRefused };
  kind what = kind::kRefused;
  uint32_t upstream = 0;         ///< Address of the upstream if placed, or 0.
  refusal why = refusal::kNone;  ///< Reason if refused.
  uint64_t token = 0;            ///< Token of the request.
  auto operator<=>(const open_decision&) const = default;
};

/// \brief What an open flow reserves at its upstream: a connection and, for a
/// request, a slot.
struct flow_reservation {
  uint32_t upstream = 0;  ///< Address of the upstream.
  uint32_t caller = 0;    ///< Address of the caller.
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  auto operator<=>(const flow_reservation&) const = default;
};

/// \brief Reservation of the flow of `request` once it is placed on the
/// upstream with the address `upstream`.
inline flow_reservation ReservationFor(const open_request& request,
                                       uint32_t upstream) {
  return {upstream, request.key.caller.address, request.kind, request.priority};
}

/// \brief How a flow ended. This determines how its end affects the health and
/// the speed recorded for its upstream.
enum class flow_end : uint8_t {
  /// The response was complete. Its hold time updates the upstream's speed.
  kCompleted,
  /// The upstream did not respond, rejected the opening, or reset the flow.
  kFailed,
  /// The caller ended the flow, or the flow timed out without packets. This has
  /// no effect on the record of the upstream.
  kAbandoned,
};

/// \brief Counts of one upstream, for heartbeats, metrics and the status page.
struct upstream_load {
  uint32_t address = 0;
  uint32_t connections = 0;  ///< Open flows, including inherited ones.
  uint32_t slots = 0;  ///< Requests in progress, including inherited ones.
  /// Observed speed relative to the mean of the pool, in 1/1000. Speed is
  /// inversely proportional to the time that requests hold a slot.
  uint32_t speed_permille = 0;
  /// Receives no new flow except single ones as probes, until one succeeds.
  bool ejected = false;
  auto operator<=>(const upstream_load&) const = default;
};

/// \brief Load of a pool.
struct pool_load {
  std::vector<upstream_load> upstreams;
  uint32_t queued = 0;  ///< Openings in the queue.
  /// Sum of the free slots of the upstreams that accept new flows.
  uint32_t free_slots = 0;
  /// Sum of the weights of the upstreams that accept new flows.
  uint64_t weight = 0;
  auto operator<=>(const pool_load&) const = default;
};

}  // namespace radishyard
