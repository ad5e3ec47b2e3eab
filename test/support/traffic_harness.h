// A traffic_core with a recording sink and a small routing view, for tests of
// the packet path.
#pragma once
#include <gmock/gmock.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "traffic/traffic_core.h"

namespace radishyard {

/// \brief A packet that the balancer sent.
struct sent_packet {
  endpoint to;  ///< Another balancer; port 0 for the fabric.
  std::optional<forward_option> forward;
  byte_buffer ip;

  packet_view View() const {
    failure why;
    return ParsePacket(ip, why).value_or(packet_view{});
  }
};

/// \brief Records sent packets and hops in order.
class recording_sink : public traffic_sink {
 public:
  void SendToFabric(byte_span ip_packet, uint64_t) override {
    sent.push_back({{}, {}, {ip_packet.begin(), ip_packet.end()}});
  }
  void SendToBalancer(const endpoint& to, const forward_option& option,
                      byte_span ip_packet) override {
    sent.push_back({to, option, {ip_packet.begin(), ip_packet.end()}});
  }
  void RecordHop(const hop_span& hop) override { hops.push_back(hop); }

  /// \brief Returns the packets sent since the last call.
  std::vector<sent_packet> TakeSent() { return std::exchange(sent, {}); }

  std::vector<sent_packet> sent;
  std::vector<hop_span> hops;
};

/// \brief The traffic core of one balancer under test. It owns the pool of
/// "survey-link" in the domain "rennes"; the pool in "vannes" belongs to kPeer
/// and is not reachable.
class traffic_harness {
 public:
  static constexpr endpoint kFabric{0x7f000001, 8000};
  static constexpr endpoint kPeer{0x7f000001, 9100};
  static constexpr endpoint kCaller{0x0a010101, 40000};
  static constexpr endpoint kFeedAddress{0x0a140001, 7000};
  static constexpr endpoint kRequestAddress{0x0a140001, 7001};
  static constexpr endpoint kNonIdempotentUdp{0x0a140001, 7002};
  static constexpr endpoint kIdempotentUdp{0x0a140001, 7003};

  /// \param slots slots of each upstream.
  explicit traffic_harness(uint32_t slots = 2);

  /// \brief The routing view. Changes take effect with PublishView().
  std::shared_ptr<routing_view> view;
  void PublishView(time_point now) {
    core.SetView(std::make_shared<routing_view>(*view), now);
  }
  /// \brief Grants the lease of the pool in "rennes" until `until`; without it,
  /// non-idempotent work is not placed.
  void GrantLease(time_point until);
  pool_route& rennes() { return view->pools[0]; }
  pool_route& vannes() { return view->pools[1]; }

  /// \brief Delivers a packet to the core: from the fabric, or with `forward`
  /// from the peer.
  /// \returns the packets that the core sends in reply.
  std::vector<sent_packet> Deliver(
      const packet_fields& fields, time_point now,
      std::optional<forward_option> forward = std::nullopt);
  /// \brief Runs the timers of the core.
  std::vector<sent_packet> Tick(time_point now);

  recording_sink sink;
  traffic_core core;
};

}  // namespace radishyard
