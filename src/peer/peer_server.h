// Accepts the connections of other balancers.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "base/asio.h"
#include "packet/flow_key.h"
#include "peer/peer_link.h"

namespace radishyard {

/// \brief Listens on the control endpoint and owns the accepted links.
///
/// \code
/// peer_server server(io, self.control, handlers, counters);
/// server.ForEach([&](peer_link& link) { link.Send(beat); });
/// \endcode
/// The constructor throws boost::system::system_error if the endpoint can't be
/// bound. Destroying the server closes its links without a call of on_close.
class peer_server {
 public:
  peer_server(asio::io_context& io, const endpoint& address,
              link_handlers handlers, std::shared_ptr<peer_counters> counters);
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// \brief The port on which the server listens; the system chooses it if the
  /// address has port 0.
  uint16_t port() const { return port_; }
  /// \brief Number of open links.
  size_t size() const { return links_.size(); }
  /// \brief Calls `visit` for each open link.
  void ForEach(const std::function<void(peer_link&)>& visit) const;

 private:
  void Accept();
  void AddLink(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor_;
  /// Delays the next accept after a failed one.
  asio::steady_timer retry_timer_;
  link_handlers handlers_;
  std::shared_ptr<peer_counters> counters_;
  uint16_t port_ = 0;
  std::vector<std::shared_ptr<peer_link>> links_;
  /// Handlers hold a weak pointer to it, and return if this object is gone: the
  /// handler of a completed accept may still be queued when it is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
