// Links to the other balancers: which peers are dialed, heartbeats and their
// replies, when each peer last sent a message, and the loads that owners
// report.
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

/// \brief A peer to which a link is kept.
struct hub_peer {
  member roster_entry;
  /// The peer may take a pool over from this balancer, so load reports to it
  /// contain the exact counts of each upstream.
  bool needs_exact_counts = false;
  auto operator<=>(const hub_peer&) const = default;
};

/// \brief Functions that the hub calls, all on the control thread.
struct hub_handlers {
  /// Creates the part of a heartbeat that is the same for all peers: epochs,
  /// digest and summaries.
  std::function<heartbeat()> make_heartbeat;
  /// Creates the load report for a peer; `exact_counts` as in
  /// hub_peer::needs_exact_counts.
  std::function<std::map<pool_name, pool_usage>(const member& to,
                                                bool exact_counts)>
      make_load_report;
  /// Records the epochs that a heartbeat reports, and fills in the epochs of
  /// the reply.
  std::function<void(const heartbeat&, heartbeat_ack&)> exchange_epochs;
  std::function<void(const heartbeat&)> on_heartbeat;
  std::function<void(const heartbeat_ack&)> on_ack;
  /// Called for all other messages, with the sender that the hello of the link
  /// named. A reply may be sent on the link.
  std::function<void(peer_link&, const member& from, const peer_message&)>
      on_message;
  /// Called when a peer has opened a link and named itself in its hello.
  std::function<void(peer_link&, const member&)> on_hello;
};

/// \brief The links of one balancer. It dials every peer and sends its
/// heartbeats over the dialed links; a peer replies on the link of the
/// heartbeat.
class peer_hub {
 public:
  peer_hub(asio::io_context& io, const member& self, duration base_interval,
           hub_handlers handlers);

  /// \brief Dials the peers that are new, and closes the links to peers that
  /// are not in the list any more.
  void SetPeers(const std::vector<hub_peer>& peers);

  /// \brief Dials the control endpoints from the settings, so that the first
  /// state can be received from any balancer that replies.
  /// \param first_message is sent on each of these links after the hello.
  void DialSeeds(const std::vector<endpoint>& seeds,
                 const peer_message& first_message);

  /// \brief Sends the heartbeats that are due.
  void Tick(time_point now);

  /// \brief Queues a message on the dialed link to the peer.
  /// \returns false if there is no open link, or the message was not accepted.
  bool Send(const member_id& to, const peer_message& message);

  /// \brief Sends to every dialed peer.
  void SendAll(const peer_message& message);

  /// \brief When the last message of this run was received; nothing if none
  /// was.
  std::optional<time_point> LastMessageAt(const member_id& id) const;

  /// \brief The latest load report of each pool that another balancer serves.
  const std::map<pool_name, pool_usage>& ReportedUsage() const {
    return reported_usage_;
  }

  const peer_counters& counters() const { return *counters_; }

  /// \brief Heartbeat interval for this number of peers. It grows with the
  /// number, which bounds the cost of heartbeats.
  static duration HeartbeatInterval(duration base, size_t peers);

 private:
  struct dialed_peer {
    hub_peer peer;
    std::unique_ptr<peer_connector> connector;
    std::map<pool_name, pool_usage>
        sent_loads;  // Loads that were sent over the current link.
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
  std::map<pool_name, pool_usage> reported_usage_;
};

/// \brief Converts an instant to milliseconds of the monotonic clock, as a
/// heartbeat contains them.
uint64_t ToWireMs(time_point at);
/// \brief Converts the milliseconds of a heartbeat back to an instant, which is
/// at most 1 ms before the original one.
time_point FromWireMs(uint64_t ms);

}  // namespace radishyard
