// Dials one other balancer and keeps the link up.
#pragma once
#include <memory>

#include "base/asio.h"
#include "packet/flow_key.h"
#include "peer/backoff.h"
#include "peer/peer_link.h"

namespace radishyard {

/// \brief Holds one link to `address` and dials again whenever it is lost.
///
/// \code
/// handlers.on_open = [&](peer_link& link) { link.Send(hello{self}); };
/// peer_connector connector(io, peer.control, handlers, counters, seed);
/// connector.Start();
/// \endcode
/// Attempts back off until a message has come over a link: a connection alone
/// doesn't show that a balancer answers. Destroying the connector closes its
/// link without a call of on_close.
class peer_connector {
 public:
  /// \param seed of the jitter; should differ between balancers.
  peer_connector(asio::io_context& io, const endpoint& address,
                 link_handlers handlers,
                 std::shared_ptr<peer_counters> counters, uint64_t seed,
                 backoff_policy policy = {});
  ~peer_connector();
  peer_connector(const peer_connector&) = delete;
  peer_connector& operator=(const peer_connector&) = delete;

  void Start() { Dial(); }
  /// \brief Sends if the link is up; else false.
  bool Send(const peer_message& message);
  /// \brief The link, or null while it is down.
  peer_link* link() const { return link_.get(); }
  const endpoint& address() const { return address_; }
  /// \brief Failed attempts since the last message received.
  unsigned attempts() const { return attempts_; }

 private:
  void Dial();
  void Open();
  void Retry();
  std::weak_ptr<bool> Alive() const { return alive_; }

  asio::io_context& io_;
  endpoint address_;
  link_handlers handlers_;
  std::shared_ptr<peer_counters> counters_;
  uint64_t seed_;
  backoff_policy policy_;
  asio::steady_timer timer_;  ///< Ends an attempt, or the wait before the next.
  std::shared_ptr<asio::ip::tcp::socket> dialing_;  ///< Null if not dialing.
  std::shared_ptr<peer_link> link_;
  unsigned attempts_ = 0;
  /// Expires with this object; a completed timer may still have its handler
  /// queued then.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
