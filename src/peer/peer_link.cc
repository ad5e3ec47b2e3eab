// Reading and writing of frames; everything queued goes out in one write.
#include "peer/peer_link.h"

#include <utility>

#include "peer/peer_codec.h"

namespace radishyard {
namespace {

constexpr size_t kMaxQueuedBytes = 4 * kMaxPayloadBytes;
constexpr size_t kReadBytes = 8U << 10;
/// Buffers above this are given back to the heap once empty.
constexpr size_t kKeptBytes = 64U << 10;

void Clear(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > kKeptBytes) buffer.shrink_to_fit();
}

}  // namespace

peer_link::peer_link(asio::ip::tcp::socket socket, link_handlers handlers,
                     std::shared_ptr<peer_counters> counters)
    : socket_(std::move(socket)),
      handlers_(std::make_shared<link_handlers>(std::move(handlers))),
      counters_(std::move(counters)) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void peer_link::Start() {
  const auto self = shared_from_this();
  const auto handlers = handlers_;
  if (handlers->on_open) handlers->on_open(*this);
  if (open_) Read();
}

bool peer_link::Send(const peer_message& message) {
  if (!open_) return false;
  failure why;
  const std::optional<std::string> frame = EncodeFrame(message, why);
  if (!frame) return false;
  if (queued_bytes() + frame->size() > kMaxQueuedBytes) {
    ++counters_->overflows;
    Fail(failure_kind::kUnavailable, "send queue is full");
    return false;
  }
  waiting_ += *frame;
  ++counters_->messages_sent;
  if (writing_.empty()) Write();
  return true;
}

void peer_link::Close() {
  handlers_.reset();
  CloseSocket();
}

void peer_link::CloseSocket() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

void peer_link::Read() {
  const size_t filled = received_.size();
  received_.resize(filled + kReadBytes);
  socket_.async_read_some(
      asio::buffer(received_.data() + filled, kReadBytes),
      [self = shared_from_this(), filled](error_code error, size_t count) {
        if (!self->open_) return;
        self->received_.resize(filled + count);
        self->counters_->bytes_received += count;
        if (error)
          return self->Fail(failure_kind::kUnavailable, error.message());
        self->TakeFrames();
        if (self->open_) self->Read();
      });
}

void peer_link::TakeFrames() {
  size_t taken = 0;
  while (open_) {
    const frame_view frame =
        ParseFrame(std::string_view(received_).substr(taken));
    if (frame.what == frame_view::status::kTooLarge) {
      ++counters_->malformed;
      return Fail(failure_kind::kInvalid, "frame is above 1 MB");
    }
    if (frame.what == frame_view::status::kPartial) break;
    Take(frame.payload);
    taken += frame.size;
  }
  received_.erase(0, taken);
  if (received_.empty()) Clear(received_);
}

void peer_link::Take(std::string_view payload) {
  failure why;
  std::optional<peer_message> message = DecodePayload(payload, why);
  if (!message) {
    ++counters_->malformed;
    return;
  }
  ++counters_->messages_received;
  if (const auto* greeting = std::get_if<hello>(&*message))
    peer_ = greeting->self;
  const auto handlers = handlers_;
  if (handlers->on_message) handlers->on_message(*this, std::move(*message));
}

void peer_link::Write() {
  std::swap(waiting_, writing_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](error_code error, size_t count) {
        self->counters_->bytes_sent += count;
        Clear(self->writing_);
        if (!self->open_) return;
        if (error)
          return self->Fail(failure_kind::kUnavailable, error.message());
        if (!self->waiting_.empty()) self->Write();
      });
}

void peer_link::Fail(failure_kind kind, const std::string& text) {
  if (!open_) return;
  CloseSocket();
  // The user may be in the middle of a Send.
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), why = failure{kind, text}] {
               const auto handlers = self->handlers_;
               if (handlers && handlers->on_close)
                 handlers->on_close(*self, why);
             });
}

}  // namespace radishyard
