// Serves snapshots to other balancers over TCP, at a bounded share of the VM's
// link.
#pragma once
#include <functional>
#include <memory>

#include "base/asio.h"
#include "direct/view/snapshot_pacing.h"
#include "direct/view/view_message.h"
#include "peer/peer_server.h"

namespace radishyard {

/// \brief Listens for snapshot requests until destroyed.
class snapshot_server {
 public:
  /// Makes the snapshot that answers a request; nothing if there is no view
  /// yet.
  using snapshot_maker =
      std::function<std::optional<view_snapshot>(const snapshot_request&)>;

  /// \param link_mbps capacity of the VM's link in megabits a second.
  snapshot_server(asio::io_context& io, const endpoint& listen,
                  uint32_t link_mbps, snapshot_maker make,
                  std::shared_ptr<peer_counters> counters);

 private:
  void HandleRequest(peer_link& link, const snapshot_request& request);

  asio::io_context& io_;
  snapshot_maker make_;
  snapshot_pacing pacing_;
  peer_server server_;
};

}  // namespace radishyard
