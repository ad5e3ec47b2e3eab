// The connecting end of the links between balancers.
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
  if (dialing_socket_) dialing_socket_->close();
}

bool peer_connector::Send(const peer_message& message) {
  return link_ && link_->Send(message);
}

void peer_connector::Dial() {
  const auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  dialing_socket_ = socket;
  socket->async_connect(
      {asio::ip::address_v4(address_.address), address_.port},
      [this, socket](error_code error) {
        // The destructor or the timeout has closed the socket; `this` may have
        // been destroyed.
        if (error == asio::error::operation_aborted || !socket->is_open())
          return;
        timer_.cancel();
        error ? ScheduleRetry() : OpenLink();
      });
  timer_.expires_after(kDialTimeout);
  timer_.async_wait([this, alive = AliveToken()](error_code cancelled) {
    if (cancelled || alive.expired() || !dialing_socket_) return;
    dialing_socket_->close();
    ScheduleRetry();
  });
}

void peer_connector::OpenLink() {
  link_handlers handlers = handlers_;
  handlers.on_message = [this, user = handlers_.on_message](
                            peer_link& link, peer_message message) {
    failed_attempts_ = 0;
    if (user) user(link, std::move(message));
  };
  handlers.on_close = [this, user = handlers_.on_close](peer_link& link,
                                                        const failure& why) {
    link_.reset();
    ScheduleRetry();
    if (user) user(link, why);
  };
  link_ = std::make_shared<peer_link>(std::move(*dialing_socket_),
                                      std::move(handlers), counters_);
  dialing_socket_.reset();
  link_->Start();
}

void peer_connector::ScheduleRetry() {
  dialing_socket_.reset();
  timer_.expires_after(ComputeBackoffDelay(policy_, failed_attempts_++, seed_));
  timer_.async_wait([this, alive = AliveToken()](error_code cancelled) {
    if (!cancelled && !alive.expired()) Dial();
  });
}

}  // namespace radishyard
