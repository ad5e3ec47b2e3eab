// Accepts links from other balancers.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "base/asio.h"
#include "packet/flow_key.h"
#include "peer/peer_link.h"

namespace radishyard {

/// \brief Listens on the control endpoint and keeps the links that it accepted.
///
/// \code
/// peer_server server(io, self.control, handlers, counters);
/// server.ForEach([&](peer_link& link) { link.Send(beat); });
/// \endcode
/// Throws boost::system::system_error from the constructor where the endpoint
/// can't be bound. Destroying it closes its links without a call of on_close.
class peer_server {
 public:
  peer_server(asio::io_context& io, const endpoint& address,
              link_handlers handlers, std::shared_ptr<peer_counters> counters);
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// \brief The port listened on, for an address with port 0.
  uint16_t port() const { return port_; }
  /// \brief Number of open links.
  size_t size() const { return links_.size(); }
  /// \brief Calls `visit` for each open link.
  void ForEach(const std::function<void(peer_link&)>& visit) const;

 private:
  void Accept();
  void Add(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;  ///< After a failed accept.
  link_handlers handlers_;
  std::shared_ptr<peer_counters> counters_;
  uint16_t port_ = 0;
  std::vector<std::shared_ptr<peer_link>> links_;
  /// Expires with this object; a completed accept may still have its handler
  /// queued then.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
