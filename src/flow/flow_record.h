// One open flow as the owner of its pool remembers it.
#pragma once
#include <compare>
#include <cstdint>

#include "packet/flow_key.h"
#include "table/service.h"

namespace radishyard {

/// \brief Life of a flow at its owner.
enum class flow_phase : uint8_t {
  kQueued,   ///< Waits for an upstream with room; its opening packet is held.
  kOpening,  ///< Sent to an upstream that has not answered yet.
  kOpen,     ///< The upstream answered; the flow never moves again.
  kClosed,   ///< Ended; kept for a short time, so that late packets still pass.
  kPassedOn,  ///< Its opening went to another pool of the service; packets
              ///< follow it there.
};

/// \brief Marks on a flow.
enum flow_flag : uint8_t {
  kCallerFin = 0x01,        ///< The caller sent FIN.
  kUpstreamFin = 0x02,      ///< The upstream sent FIN.
  kUnconfirmed = 0x04,      ///< The caller has not answered the SYN-ACK, or the
                            ///< flow was learned from another balancer and no
                            ///< payload has passed since.
  kHoldsConnection = 0x08,  ///< Counts against the upstream's connections.
  kSentToStandby = 0x10,    ///< The standby has been told of this flow.
  kMustNotBePassedOn = 0x40,  ///< Another balancer passed its opening here, or
                              ///< was asked for it; not passed on again.
  kMayHaveExecuted = 0x80,    ///< A copy of the request may have run: it is not
                              ///< refused, but dropped.
  kPayloadSent = 0x20,  ///< Payload went to the upstream: never placed again.
};

/// \brief A flow. Times are milliseconds since the table was made, modulo 2^32.
/// Invariant: `upstream` is 0 while the phase is kQueued or kPassedOn, and only
/// then.
struct flow_record {
  flow_key key;
  uint32_t upstream = 0;  ///< Address of the upstream.
  uint32_t syn_seq =
      0;  ///< Sequence number of the SYN that opened a TCP flow; 0 if unknown.
  uint32_t opened_ms = 0;     ///< When the present upstream was chosen.
  uint32_t last_seen_ms = 0;  ///< Last packet in either direction.
  /// Index of the pool at this thread; for kPassedOn the tag of the pool that
  /// it went to.
  uint16_t pool = 0;  ///< Index of the pool at this thread.
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  flow_phase phase = flow_phase::kQueued;
  uint8_t flags = 0;
  uint8_t attempt = 0;  ///< Placements so far, less one.
  auto operator<=>(const flow_record&) const = default;

  /// \brief True for a flow whose opening another balancer saw.
  bool WasOpenedElsewhere() const { return syn_seq == 0; }
  bool Has(flow_flag mark) const { return (flags & mark) != 0; }
  void Set(flow_flag mark) { flags = static_cast<uint8_t>(flags | mark); }
  void Clear(flow_flag mark) { flags = static_cast<uint8_t>(flags & ~mark); }
};

}  // namespace radishyard
