// Dialing end of the links.
#include "peer/peer_connector.h"

#include <utility>

namespace radishyard {
namespace {

constexpr auto kDialTimeout = 2s;

}  // namespace

peer_connector::peer_connector(asio::io_context& io, const endpoint& address,
                               link_handlers handlers,
                               std::shared_ptr<peer_counters> counters,
                               uint64_t seed, backoff_policy policy)
    : io_(io),
      address_(address),
      handlers_(std::move(handlers)),
      counters_(std::move(counters)),
      seed_(seed),
      policy_(policy),
      timer_(io) {}

peer_connector::~peer_connector() {
  if (link_) link_->Close();
  if (dialing_) dialing_->close();
}

bool peer_connector::Send(const peer_message& message) {
  return link_ && link_->Send(message);
}

void peer_connector::Dial() {
  const auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  dialing_ = socket;
  socket->async_connect(
      {asio::ip::address_v4(address_.address), address_.port},
      [this, socket](error_code error) {
        // Closed by the destructor or the timeout: `this` may be gone.
        if (error == asio::error::operation_aborted || !socket->is_open())
          return;
        timer_.cancel();
        error ? Retry() : Open();
      });
  timer_.expires_after(kDialTimeout);
  timer_.async_wait([this, alive = Alive()](error_code cancelled) {
    if (cancelled || alive.expired() || !dialing_) return;
    dialing_->close();
    Retry();
  });
}

void peer_connector::Open() {
  link_handlers handlers = handlers_;
  handlers.on_message = [this, user = handlers_.on_message](
                            peer_link& link, peer_message message) {
    attempts_ = 0;
    if (user) user(link, std::move(message));
  };
  handlers.on_close = [this, user = handlers_.on_close](peer_link& link,
                                                        const failure& why) {
    link_.reset();
    Retry();
    if (user) user(link, why);
  };
  link_ = std::make_shared<peer_link>(std::move(*dialing_), std::move(handlers),
                                      counters_);
  dialing_.reset();
  link_->Start();
}

void peer_connector::Retry() {
  dialing_.reset();
  timer_.expires_after(ComputeBackoffDelay(policy_, attempts_++, seed_));
  timer_.async_wait([this, alive = Alive()](error_code cancelled) {
    if (!cancelled && !alive.expired()) Dial();
  });
}

}  // namespace radishyard
