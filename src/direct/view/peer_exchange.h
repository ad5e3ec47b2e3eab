// Exchanges reports and snapshots with other balancers. A balancer can thus
// start while the platform is unreachable, only a few members of a failure
// domain read the platform, and all members share their observations of
// upstreams.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "base/asio.h"
#include "direct/forward/forwarder.h"
#include "direct/view/peer_members.h"
#include "direct/view/table_confirmation.h"
#include "direct/view/view_message.h"
#include "direct/view/view_sharing.h"
#include "peer/peer_message.h"

namespace radishyard {

/// \brief Interval of the reports to other balancers.
inline constexpr duration kReportInterval = 1s;
/// \brief The same while requests wait in the queues of upstreams. A peak fills
/// the queues within seconds, and decisions on older loads come too late.
inline constexpr duration kBusyReportInterval = 500ms;

/// \brief Callbacks of the exchange to its owner.
struct exchange_handlers {
  /// A snapshot from `peer` has been applied with the given effect.
  std::function<void(const endpoint& peer, const snapshot_effect&)> on_snapshot;
  /// The evacuated domains have changed by a report of `peer`.
  std::function<void(const endpoint& peer)> on_evacuations;
  /// Returns true if this balancer watches the table and its reads succeed.
  std::function<bool()> watches_table;
  /// Returns when an answer of the platform last confirmed the table to this
  /// balancer.
  std::function<time_point()> table_read_at;
  /// Called before messages and snapshots are handled. It may call
  /// DiscardReceived().
  std::function<void()> on_activity;
  /// A request for a grant, or a reply to one of this balancer, has arrived.
  /// Unset if grants are not used.
  std::function<void(const grant_request&)> on_grant_request;
  std::function<void(const grant_reply&)> on_grant_reply;
};

/// \brief Exchanges state with the other balancers of the failure domain.
class peer_exchange {
 public:
  /// \param listen local address for reports and snapshot requests. Other
  /// balancers receive `self.peer` as the address to use.
  /// \param seeds balancers that receive discovery requests. Some may be
  /// unreachable or no longer exist.
  /// \param link_mbps capacity of the VM's link in megabits a second.
  /// \param state must outlive the exchange.
  peer_exchange(asio::io_context& io, const endpoint& listen,
                const view_member& self, const std::vector<endpoint>& seeds,
                uint32_t link_mbps, forwarding_state& state,
                exchange_handlers handlers);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;

  void Start();
  void SetSeeds(const std::vector<endpoint>& seeds);
  /// \brief Drops the messages that have arrived and were not handled. Those
  /// that arrived during a pause of this process are older than they say.
  void DiscardReceived();
  /// \brief Drops what has arrived, and ages the confirmations of the table,
  /// after the VM was suspended for `elapsed`.
  void RecordSuspension(duration elapsed);
  /// \brief Sends a report at once, after a read of the platform that changed
  /// the list or the table.
  void ReportNow();
  /// \brief Tells the other members at once that a caller retransmits data to
  /// an upstream; see MakeSilenceNotice().
  void ReportSilence(upstream_id upstream);
  /// \brief True while a snapshot is being fetched.
  bool IsFetching() const;
  /// \brief True if other members of the failure domain have reported lately.
  bool HasMembers(time_point now) const;
  /// \brief True if this balancer is a registry reader of its failure domain.
  bool IsRegistryReader(time_point now) const;
  /// \brief Sends one message to another balancer. It may be lost.
  void SendTo(const peer_message& message, const endpoint& to);
  /// \brief The live members of `domain`, with this balancer if it is its own.
  std::vector<view_member> FindMembers(const std::string& domain,
                                       time_point now) const;
  /// \brief What other balancers have confirmed of this balancer's table.
  const table_confirmation& confirmation() const;

 private:
  class core;
  std::shared_ptr<core> core_;
};

}  // namespace radishyard
