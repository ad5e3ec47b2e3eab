// Reports and snapshots between balancers with direct server return: a start
// without the platform, few readers of it, and shared observations.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "base/asio.h"
#include "direct/forwarder.h"
#include "direct/peer_members.h"
#include "direct/view_message.h"
#include "direct/view_sharing.h"

namespace radishyard {

/// \brief What the exchange tells its owner.
struct exchange_handlers {
  /// A snapshot of the peer was taken.
  std::function<void(const endpoint& peer, const snapshot_effect&)> on_snapshot;
  /// Whether this balancer watches the table without trouble.
  std::function<bool()> watches_table;
};

/// \brief Exchanges views with the other balancers of the domain.
class peer_exchange {
 public:
  /// \param listen where reports and snapshots arrive; others are told
  /// `self.peer`.
  /// \param seeds balancers to ask first. Some may be down or gone.
  /// \param state outlives the exchange.
  peer_exchange(asio::io_context& io, const endpoint& listen,
                const view_member& self, const std::vector<endpoint>& seeds,
                forwarding_state& state, exchange_handlers handlers);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;

  void Start();
  void SetSeeds(const std::vector<endpoint>& seeds);
  /// \brief Reports at once, after a reading that brought something.
  void ReportNow();
  /// \brief True if this balancer reads the platform for its domain.
  bool IsRegistryReader(time_point now) const;
  /// \brief When a balancer that watches the table was last heard to have no
  /// newer version than this one.
  time_point table_confirmed_at() const;

 private:
  class core;
  std::shared_ptr<core> core_;
};

}  // namespace radishyard
