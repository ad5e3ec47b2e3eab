// Links to other balancers: who is dialed, heartbeats and their answers, who
// was heard when, and the loads that owners report.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/time.h"
#include "peer/peer_connector.h"
#include "peer/peer_server.h"
#include "peer/pool_delta.h"
#include "traffic/routing_view.h"

namespace radishyard {

/// \brief A balancer to keep a link to.
struct hub_peer {
  member roster_entry;
  bool needs_exact_counts = false;  ///< It may take a pool over from this
                                    ///< balancer: reports hold exact counts.
  auto operator<=>(const hub_peer&) const = default;
};

/// \brief What the hub asks for and tells. All on the control thread.
struct hub_handlers {
  /// The common part of a heartbeat: epochs, digest, reachability.
  std::function<heartbeat()> make_heartbeat;
  /// Loads to report to a peer; `exact_counts` as in hub_peer.
  std::function<std::map<pool_name, pool_usage>(const member& to,
                                                bool exact_counts)>
      loads;
  /// Fills the epochs of the answer.
  std::function<void(const heartbeat&, heartbeat_ack&)> fill_ack_epochs;
  std::function<void(const heartbeat&)> on_heartbeat;
  std::function<void(const heartbeat_ack&)> on_ack;
  /// Answers go back on the link.
  std::function<void(peer_link&, const member& from, const peer_message&)>
      on_message;
  std::function<void(peer_link&, const member&)> on_hello;
};

/// \brief The links of one balancer. It dials every peer; heartbeats go over
/// the dialed links and are answered on the link on which they came.
class peer_hub {
 public:
  peer_hub(asio::io_context& io, const member& self, duration base_interval,
           hub_handlers handlers);

  /// \brief Dials new peers and drops those that are not listed.
  void SetPeers(const std::vector<hub_peer>& peers);

  /// \brief Dials control addresses from the settings, to learn the state from
  /// whoever answers.
  void DialSeeds(const std::vector<endpoint>& seeds,
                 const peer_message& first_message);

  /// \brief Sends the heartbeats that are due.
  void Tick(time_point now);

  /// \brief Queues a message on the dialed link. False while it is down.
  bool Send(const member_id& to, const peer_message& message);

  /// \brief Sends to every dialed peer.
  void SendAll(const peer_message& message);

  /// \brief When a message of this run came last; nothing if never.
  std::optional<time_point> LastMessageAt(const member_id& id) const;

  /// \brief Latest report of each pool that another balancer serves.
  const std::map<pool_name, pool_usage>& ReportedCounts() const {
    return reported_counts_;
  }

  const peer_counters& counters() const { return *counters_; }

  /// \brief Interval of heartbeats for this number of peers: it grows with
  /// them, so that the cost of control stays within its bound.
  static duration HeartbeatInterval(duration base, size_t peers);

 private:
  struct dialed_peer {
    hub_peer peer;
    std::unique_ptr<peer_connector> connector;
    std::map<pool_name, pool_usage>
        sent_loads;  // What the peer knows from this link.
    bool is_open = false;
    uint64_t sequence = 0;
    time_point next_heartbeat_at{};
  };

  link_handlers DialHandlers(const member_id& id);
  link_handlers AcceptHandlers();
  void SendHeartbeat(dialed_peer& peer, time_point now);
  std::vector<pool_delta> LoadDeltas(dialed_peer& peer);
  void Dispatch(peer_link& link, const peer_message& message);
  void ReplyToHeartbeat(peer_link& link, const heartbeat& beat);

  asio::io_context& io_;
  member self_;
  duration base_interval_;
  hub_handlers handlers_;
  std::shared_ptr<peer_counters> counters_;
  peer_server server_;
  std::map<member_id, dialed_peer> peers_;
  std::vector<std::unique_ptr<peer_connector>> seeds_;
  std::map<member_id, time_point> last_message_at_;
  std::map<pool_name, pool_usage> reported_counts_;
};

/// \brief Milliseconds of the monotonic clock, as heartbeats carry them.
uint64_t ToWireMs(time_point at);
/// \brief The instant of a wire value; at most 1 ms before the one that was
/// sent.
time_point FromWireMs(uint64_t ms);

}  // namespace radishyard
