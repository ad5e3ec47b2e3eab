// One traffic_core with a sink that drops everything, and packets of numbered
// callers: what the measurements of the packet path need.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>

#include "traffic/traffic_core.h"

namespace radishyard {

/// \brief Counts what leaves, and keeps nothing.
class null_sink : public traffic_sink {
 public:
  void SendToFabric(byte_span, uint64_t) override { ++to_fabric; }
  void SendToBalancer(const endpoint&, const forward_option&,
                      byte_span) override {
    ++to_balancer;
  }
  void RecordHop(const hop_span&) override {}

  uint64_t to_fabric = 0;
  uint64_t to_balancer = 0;
};

/// \brief A balancer that owns the pool of one service in "rennes", or, where
/// `owns` is false, only sends its packets on.
///
/// \code
/// packet_rig rig(true);
/// rig.OpenFlows(10000, AtMs(1));
/// rig.FromCaller(17, kAck, AtMs(2));  // A packet of the 18th flow.
/// \endcode
class packet_rig {
 public:
  static constexpr endpoint kFabric{0x7f000001, 8000};
  static constexpr endpoint kPeer{0x7f000001, 9100};
  static constexpr endpoint kService{0x0a140001, 7000};
  static constexpr size_t kWitnesses = 1 << 20;

  explicit packet_rig(bool owns);

  /// \brief Hands in a TCP packet of the caller's direction.
  void FromCaller(uint32_t caller, uint8_t flags, time_point now);
  /// \brief Hands in the packet of caller `i` that comes from `upstream`.
  void FromUpstream(uint32_t caller, uint32_t upstream, uint8_t flags,
                    time_point now);
  /// \brief Opens the flows of callers 0 to `count` - 1: SYN and SYN-ACK.
  void OpenFlows(uint32_t count, time_point now);

  /// \brief Upstream that serves the flow of this caller; 0 if not known here.
  uint32_t UpstreamOf(uint32_t caller) const;
  static flow_key KeyOf(uint32_t caller);
  /// \brief The service of the rig as the table holds it.
  static service Table();
  static pool_name Pool() { return {"survey-link", "rennes"}; }

  null_sink sink;
  traffic_core core;

 private:
  void Hand(byte_buffer& datagram, size_t field, uint32_t caller, uint8_t flags,
            time_point now);

  byte_buffer from_caller_;
  byte_buffer from_upstream_;
  byte_buffer scratch_;
};

}  // namespace radishyard
