// Fixture for measurements of the packet path: a traffic_core with a sink that
// only counts packets, and the packets of numbered callers.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>

#include "traffic/traffic_core.h"

namespace radishyard {

/// \brief Counts the packets that are sent, and discards them.
class counting_sink : public traffic_sink {
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

/// \brief A balancer that owns the pool of one service in "rennes" or, if
/// `is_owner` is false, forwards the packets of the service to another
/// balancer.
///
/// \code
/// packet_path_fixture fixture(true);
/// fixture.OpenFlows(10000, AtMs(1));
/// fixture.ReceiveFromCaller(17, kAck, AtMs(2));  // A packet of the 18th flow.
/// \endcode
class packet_path_fixture {
 public:
  static constexpr endpoint kFabric{0x7f000001, 8000};
  static constexpr endpoint kPeer{0x7f000001, 9100};
  static constexpr endpoint kService{0x0a140001, 7000};
  static constexpr size_t kUpstreamCacheEntries = 1 << 20;

  explicit packet_path_fixture(bool is_owner);

  /// \brief Passes a TCP packet from the caller to the core.
  void ReceiveFromCaller(uint32_t caller, uint8_t flags, time_point now);
  /// \brief Passes a TCP packet from `upstream` to the caller to the core.
  void ReceiveFromUpstream(uint32_t caller, uint32_t upstream, uint8_t flags,
                           time_point now);
  /// \brief Opens the flows of callers 0 to `count` - 1 with SYN and SYN-ACK.
  void OpenFlows(uint32_t count, time_point now);

  /// \brief Address of the upstream that serves the flow of the caller; 0 if
  /// the core has no record of it.
  uint32_t FindUpstream(uint32_t caller) const;
  static flow_key MakeFlowKey(uint32_t caller);
  /// \brief The service as the table contains it.
  static service MakeService();
  static pool_name PoolName() { return {"survey-link", "rennes"}; }

  counting_sink sink;
  traffic_core core;

 private:
  void Receive(byte_buffer& datagram, size_t address_offset, uint32_t caller,
               uint8_t flags, time_point now);

  byte_buffer from_caller_;
  byte_buffer from_upstream_;
  byte_buffer scratch_;
};

}  // namespace radishyard
