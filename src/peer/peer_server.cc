// The accepting end of the links between balancers.
#include "peer/peer_server.h"

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace radishyard {
namespace {

/// Further connections are closed at once. A domain has far fewer balancers.
constexpr size_t kMaxLinks = 1024;
constexpr auto kAcceptRetryDelay = 100ms;

}  // namespace

peer_server::peer_server(asio::io_context& io, const endpoint& address,
                         link_handlers handlers,
                         std::shared_ptr<peer_counters> counters)
    : acceptor_(io, {asio::ip::address_v4(address.address), address.port}),
      retry_timer_(io),
      handlers_(std::move(handlers)),
      counters_(std::move(counters)),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
}

peer_server::~peer_server() {
  for (const auto& link : links_) link->Close();
}

void peer_server::ForEach(const std::function<void(peer_link&)>& visit) const {
  for (const auto& link : std::vector(links_))
    if (link->is_open()) visit(*link);
}

void peer_server::Accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](
                             error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || alive.expired()) return;
    if (!error) {
      AddLink(std::move(socket));
      return Accept();
    }
    // For example, no file descriptor is left. Accept again after a delay.
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([this, alive](error_code cancelled) {
      if (!cancelled && !alive.expired()) Accept();
    });
  });
}

void peer_server::AddLink(asio::ip::tcp::socket socket) {
  if (links_.size() >= kMaxLinks) return;
  link_handlers handlers = handlers_;
  handlers.on_close = [this, user = handlers_.on_close](peer_link& link,
                                                        const failure& why) {
    std::erase_if(links_, [&](const auto& l) { return l.get() == &link; });
    if (user) user(link, why);
  };
  const auto link = std::make_shared<peer_link>(std::move(socket),
                                                std::move(handlers), counters_);
  links_.push_back(link);
  link->Start();
}

}  // namespace radishyard
