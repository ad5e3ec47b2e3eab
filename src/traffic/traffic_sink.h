// The interface through which the packet path sends packets and records trace
// spans. Tests replace it by a mock.
#pragma once
#include <cstdint>

#include "base/time.h"
#include "packet/geneve.h"

namespace radishyard {

/// \brief One hop of a traced flow. All balancers derive the same trace id from
/// the flow's hash.
struct hop_span {
  uint64_t trace = 0;
  uint64_t span = 0;
  uint64_t parent = 0;    ///< Span of the previous hop; 0 at the first one.
  const char* name = "";  ///< Such as "ingress", "owner" or "return".
  const char* outcome = "";
  flow_key key;
  time_point at{};
};

/// \brief Creates the id of a span of the trace at `now`. It is never 0, which
/// stands for "no span".
inline uint64_t NewSpanId(uint64_t trace, time_point now) {
  const auto ticks = static_cast<uint64_t>(now.time_since_epoch().count());
  return (trace ^ (ticks * 0x9e3779b97f4a7c15)) | 1;
}

/// \brief Receives the packets and trace spans of a traffic_core.
class traffic_sink {
 public:
  virtual ~traffic_sink() = default;
  /// \brief Sends an IPv4 packet to the fabric. `flow_hash` distributes flows
  /// over the fabric entries.
  virtual void SendToFabric(byte_span ip_packet, uint64_t flow_hash) = 0;
  /// \brief Sends a packet to another balancer.
  virtual void SendToBalancer(const endpoint& to, const forward_option& option,
                              byte_span ip_packet) = 0;
  /// \brief Records a hop of a traced flow.
  virtual void RecordHop(const hop_span& hop) = 0;
};

}  // namespace radishyard
