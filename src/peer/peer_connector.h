// Connects to one other balancer and reconnects whenever the link is lost.
#pragma once
#include <memory>

#include "base/asio.h"
#include "packet/flow_key.h"
#include "peer/backoff.h"
#include "peer/peer_link.h"

namespace radishyard {

/// \brief Keeps one link to `address` and reconnects whenever it is lost.
///
/// \code
/// handlers.on_open = [&](peer_link& link) { link.Send(hello{self}); };
/// peer_connector connector(io, peer.control, handlers, counters, seed);
/// connector.Start();
/// \endcode
/// The delay between attempts grows until a message is received over a link,
/// since an established connection alone doesn't show that a balancer responds.
/// Destroying the connector closes its link without a call of on_close.
class peer_connector {
 public:
  /// \param seed of the backoff jitter; should differ between balancers.
  peer_connector(asio::io_context& io, const endpoint& address,
                 link_handlers handlers,
                 std::shared_ptr<peer_counters> counters, uint64_t seed,
                 backoff_policy policy = {});
  ~peer_connector();
  peer_connector(const peer_connector&) = delete;
  peer_connector& operator=(const peer_connector&) = delete;

  void Start() { Dial(); }
  /// \brief Sends `message` if the link is up.
  /// \returns false if the link is down or peer_link::Send fails.
  bool Send(const peer_message& message);
  /// \brief The link, or null while it is down.
  peer_link* link() const { return link_.get(); }
  const endpoint& address() const { return address_; }
  /// \brief Failed attempts since the last message received.
  unsigned failed_attempts() const { return failed_attempts_; }

 private:
  void Dial();
  void OpenLink();
  void ScheduleRetry();
  std::weak_ptr<bool> AliveToken() const { return alive_; }

  asio::io_context& io_;
  endpoint address_;
  link_handlers handlers_;
  std::shared_ptr<peer_counters> counters_;
  uint64_t seed_;
  backoff_policy policy_;
  /// Limits the duration of an attempt, and delays the next one.
  asio::steady_timer timer_;
  /// Socket of the attempt in progress; null if there is none.
  std::shared_ptr<asio::ip::tcp::socket> dialing_socket_;
  std::shared_ptr<peer_link> link_;
  unsigned failed_attempts_ = 0;
  /// Handlers hold a weak pointer to it, and return if this object is gone: the
  /// handler of an expired timer may still be queued when it is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
