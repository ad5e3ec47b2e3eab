// Connects to a source, sends a request and waits for the snapshot.
#include "direct/view/snapshot_fetcher.h"

#include <utility>

namespace radishyard {

snapshot_fetcher::snapshot_fetcher(asio::io_context& io,
                                   fetch_handlers handlers,
                                   std::shared_ptr<peer_counters> counters)
    : io_(io),
      handlers_(std::move(handlers)),
      counters_(std::move(counters)),
      timeout_timer_(io),
      retry_timer_(io) {}

void snapshot_fetcher::AddSource(const view_source& source) {
  RecordSource(sources_, source);
  if (!IsActive()) Fetch();
}

void snapshot_fetcher::Stop() {
  is_stopped_ = true;
  retry_timer_.cancel();
  End();
}

void snapshot_fetcher::Fetch() {
  if (is_stopped_ || IsActive()) return;
  const auto peer = handlers_.select(sources_);
  if (!peer) return;
  socket_ = std::make_shared<asio::ip::tcp::socket>(io_);
  timeout_timer_.expires_after(kFetchTimeout);
  timeout_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->EndAndRetry();
  });
  socket_->async_connect({asio::ip::address_v4(peer->address), peer->port},
                         [self = shared_from_this(), socket = socket_,
                          peer = *peer](error_code error) {
                           if (socket != self->socket_) return;
                           error ? self->EndAndRetry() : self->Request(peer);
                         });
}

void snapshot_fetcher::Request(const endpoint& peer) {
  link_handlers handlers;
  handlers.on_message = [weak = weak_from_this(), peer](
                            peer_link&, const peer_message& message) {
    const auto self = weak.lock();
    const auto* snapshot = std::get_if<view_snapshot>(&message);
    if (self != nullptr && snapshot != nullptr)
      self->HandleSnapshot(peer, *snapshot);
  };
  handlers.on_close = [weak = weak_from_this()](peer_link&, const failure&) {
    if (const auto self = weak.lock()) self->EndAndRetry();
  };
  link_ = std::make_shared<peer_link>(std::move(*socket_), std::move(handlers),
                                      counters_);
  link_->Start();
  link_->Send(handlers_.make_request());
}

void snapshot_fetcher::HandleSnapshot(const endpoint& peer,
                                      const view_snapshot& snapshot) {
  handlers_.on_snapshot(peer, snapshot);
  End();
}

void snapshot_fetcher::End() {
  timeout_timer_.cancel();
  if (link_ != nullptr) link_->Close();
  link_ = nullptr;
  error_code ignored;
  if (socket_ != nullptr) socket_->close(ignored);
  socket_ = nullptr;
}

void snapshot_fetcher::EndAndRetry() {
  End();
  if (is_stopped_) return;
  retry_timer_.expires_after(kFetchRetryDelay);
  retry_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->Fetch();
  });
}

}  // namespace radishyard
