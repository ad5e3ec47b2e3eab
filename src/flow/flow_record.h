// The record of one flow at the owner of its pool.
#pragma once
#include <compare>
#include <cstdint>

#include "packet/flow_key.h"
#include "table/service.h"

namespace radishyard {

/// \brief Phase in the life of a flow at the owner of its pool.
enum class flow_phase : uint8_t {
  kQueued,   ///< Waits for an upstream with room; its opening packet is held.
  kOpening,  ///< Its opening was sent to an upstream that has not responded.
  kOpen,     ///< The upstream responded; the flow stays on it until it ends.
  /// Ended. The record is kept for a short time, so that late packets are still
  /// forwarded.
  kClosed,
  /// Its opening was passed on to another pool of the service. Later packets
  /// are forwarded there.
  kPassedOn,
};

/// \brief Bits of flow_record::flags.
enum flow_flag : uint8_t {
  kCallerFin = 0x01,    ///< The caller sent FIN.
  kUpstreamFin = 0x02,  ///< The upstream sent FIN.
  /// The caller has not acknowledged the SYN-ACK, or the flow was received from
  /// another balancer and no payload has been forwarded since.
  kUnconfirmed = 0x04,
  /// The flow is counted against the connections of its upstream.
  kHoldsConnection = 0x08,
  kSentToStandby = 0x10,  ///< The flow was sent to the standby of the pool.
  /// The opening came from another balancer, which passed it on or received a
  /// request for it as the previous owner. It is not passed on again.
  kMustNotBePassedOn = 0x40,
  /// A duplicate of the request may have executed. If the request cannot be
  /// placed, it is dropped rather than refused, because a refusal states that
  /// it did not execute.
  kMayHaveExecuted = 0x80,
  /// Payload was sent to the upstream. The flow is never placed again.
  kPayloadSent = 0x20,
};

/// \brief A flow. Times are in milliseconds since the start of the flow owner,
/// modulo 2^32.
///
/// Invariant: `upstream` is 0 if and only if the phase is kQueued or kPassedOn.
struct flow_record {
  flow_key key;
  uint32_t upstream = 0;  ///< Address of the upstream.
  /// Sequence number of the SYN that opened a TCP flow; 0 if unknown.
  uint32_t syn_seq = 0;
  uint32_t opened_ms = 0;     ///< When the present upstream was chosen.
  uint32_t last_seen_ms = 0;  ///< Last packet in either direction.
  /// The pool that serves the flow: its index among the pools that this traffic
  /// thread serves. In phase kPassedOn instead the tag (pool_route::tag) of the
  /// pool to which the opening was passed on.
  uint16_t pool = 0;
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  flow_phase phase = flow_phase::kQueued;
  uint8_t flags = 0;
  uint8_t attempt = 0;  ///< Number of retries so far.
  auto operator<=>(const flow_record&) const = default;

  /// \brief Whether another balancer received the opening of this TCP flow.
  bool WasOpenedElsewhere() const { return syn_seq == 0; }
  bool Has(flow_flag flag) const { return (flags & flag) != 0; }
  void Set(flow_flag flag) { flags = static_cast<uint8_t>(flags | flag); }
  void Clear(flow_flag flag) { flags = static_cast<uint8_t>(flags & ~flag); }
};

}  // namespace radishyard
