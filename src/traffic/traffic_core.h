// The packet path of one traffic thread, from a received datagram to the
// packets that are sent. It uses no socket: packets are sent through a
// traffic_sink.
#pragma once
#include <memory>

#include "flow/flow_upstream_cache.h"
#include "traffic/flow_owner.h"
#include "traffic/inbound_packet.h"
#include "traffic/routing_view.h"
#include "traffic/traffic_counters.h"
#include "traffic/traffic_sink.h"

namespace radishyard {

/// \brief The ingress and pool owner parts of one traffic thread.
///
/// A packet takes one of these paths:
/// caller -> ingress -> owner of its pool -> upstream, and
/// upstream -> ingress -> owner of its pool -> caller;
/// ingress and owner may be the same balancer.
class traffic_core {
 public:
  /// \param upstream_cache_entries number of flows whose upstream this thread
  /// records from packets that pass it.
  traffic_core(traffic_sink& sink, size_t upstream_cache_entries,
               time_point start, flow_owner_timing timing = {});

  /// \brief Applies a new routing view.
  void SetView(std::shared_ptr<const routing_view> view, time_point now);

  /// \brief Handles one received datagram. Its bytes may be modified.
  void Receive(std::span<uint8_t> datagram, const endpoint& sender,
               time_point now);

  /// \brief Runs the timers; call it about every 10 ms.
  void Tick(time_point now);

  /// \brief Records the upstreams of flows that the owner of a pool reported to
  /// this balancer as its standby.
  void RecordStandbyFlows(const flow_batch& batch, time_point now);

  const traffic_counters& counters() const { return counters_; }
  const flow_owner& owner() const { return owner_; }
  flow_owner& owner() { return owner_; }

 private:
  bool IsTrustedSender(const endpoint& sender, const geneve_frame& frame) const;
  void HandleCallerPacket(inbound_packet& in, const port_route& route,
                          time_point now);
  void HandleUpstreamPacket(inbound_packet& in, time_point now);
  bool ChoosePool(inbound_packet& in, const port_route& route,
                  std::optional<uint32_t> slot);
  uint32_t FindUpstream(const inbound_packet& in,
                        std::optional<uint32_t> slot) const;
  std::optional<uint16_t> FindPoolByTag(const port_route& route,
                                        uint16_t tag) const;
  std::optional<uint16_t> FindPoolOfUpstream(const inbound_packet& in,
                                             uint32_t upstream) const;
  void ServeOrForward(inbound_packet& in, time_point now);
  bool MustWaitForRoster(const inbound_packet& in, forward_kind kind,
                         time_point now) const;
  void ForwardToOwner(inbound_packet& in, forward_kind kind,
                      uint32_t known_upstream, time_point now);
  void ReplyToUpstreamLookup(inbound_packet& in);
  void ApplyUpstreamLookupReply(inbound_packet& in, time_point now);
  void SendUpstreamLookups(inbound_packet& in, time_point now);
  bool ForwardToEvacuatedPool(inbound_packet& in, time_point now);
  void HandleOutcome(inbound_packet& in, flow_owner::outcome result,
                     time_point now);
  void DeferDatagram(time_point now);
  void RetryDeferredDatagrams(time_point now);
  void ForwardResponseWithoutOwner(inbound_packet& in, bool ends_flow);
  void ReturnUnlessDuplicate(inbound_packet& in);
  void ReturnToSender(inbound_packet& in);
  uint32_t MsSinceStart(time_point now) const {
    return static_cast<uint32_t>(ToMs(now - start_));
  }

  traffic_sink& sink_;
  traffic_counters counters_;
  flow_upstream_cache upstream_cache_;
  time_point start_;
  std::shared_ptr<const routing_view> view_;
  flow_owner owner_;
  // A datagram that needs a lease, or the roster that names its owner. It is
  // handled again until there is one.
  struct deferred_datagram {
    byte_buffer bytes;
    endpoint sender;
    time_point first_deferred_at;
  };
  std::vector<deferred_datagram> deferred_;
  time_point next_deferred_retry_at_{};
  // The datagram that is being handled, its sender, and the time of its first
  // deferral if it was deferred.
  std::span<uint8_t> current_datagram_;
  endpoint current_sender_;
  std::optional<time_point> first_deferred_at_;
  // Token bucket for upstream lookups. It bounds the packets that a flood of
  // packets of unknown flows causes, since each lookup goes to several
  // balancers.
  double lookup_tokens_ = 0;
  time_point lookup_tokens_refilled_at_;
};

}  // namespace radishyard
