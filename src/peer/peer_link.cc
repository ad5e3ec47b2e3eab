// Reads and writes the frames of a link. All queued frames are sent in one
// write.
#include "peer/peer_link.h"

#include <utility>

#include "peer/peer_codec.h"

namespace radishyard {
namespace {

constexpr size_t kMaxQueuedBytes = 4 * kMaxPayloadBytes;
constexpr size_t kReadChunkBytes = 8U << 10;
/// An empty buffer of a larger capacity is returned to the heap.
constexpr size_t kMaxRetainedBytes = 64U << 10;

void ClearBuffer(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > kMaxRetainedBytes) buffer.shrink_to_fit();
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
    CloseWithFailure(failure_kind::kUnavailable, "send queue is full");
    return false;
  }
  queued_ += *frame;
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
  received_.resize(filled + kReadChunkBytes);
  socket_.async_read_some(
      asio::buffer(received_.data() + filled, kReadChunkBytes),
      [self = shared_from_this(), filled](error_code error, size_t count) {
        if (!self->open_) return;
        self->received_.resize(filled + count);
        self->counters_->bytes_received += count;
        if (error)
          return self->CloseWithFailure(failure_kind::kUnavailable,
                                        error.message());
        self->HandleFrames();
        if (self->open_) self->Read();
      });
}

void peer_link::HandleFrames() {
  size_t consumed = 0;
  while (open_) {
    const frame_view frame =
        ParseFrame(std::string_view(received_).substr(consumed));
    if (frame.what == frame_view::status::kTooLarge) {
      ++counters_->malformed;
      return CloseWithFailure(failure_kind::kInvalid,
                              "frame is larger than 1 MiB");
    }
    if (frame.what == frame_view::status::kPartial) break;
    HandlePayload(frame.payload);
    consumed += frame.size;
  }
  received_.erase(0, consumed);
  if (received_.empty()) ClearBuffer(received_);
}

void peer_link::HandlePayload(std::string_view payload) {
  failure why;
  std::optional<peer_message> message = DecodePayload(payload, why);
  if (!message) {
    ++counters_->malformed;
    return;
  }
  ++counters_->messages_received;
  if (const auto* received_hello = std::get_if<hello>(&*message))
    peer_ = received_hello->self;
  const auto handlers = handlers_;
  if (handlers->on_message) handlers->on_message(*this, std::move(*message));
}

void peer_link::Write() {
  std::swap(queued_, writing_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](error_code error, size_t count) {
        self->counters_->bytes_sent += count;
        ClearBuffer(self->writing_);
        if (!self->open_) return;
        if (error)
          return self->CloseWithFailure(failure_kind::kUnavailable,
                                        error.message());
        if (!self->queued_.empty()) self->Write();
      });
}

void peer_link::CloseWithFailure(failure_kind kind, const std::string& text) {
  if (!open_) return;
  CloseSocket();
  // The handler runs later, since the user may be inside a call of Send.
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), why = failure{kind, text}] {
               const auto handlers = self->handlers_;
               if (handlers && handlers->on_close)
                 handlers->on_close(*self, why);
             });
}

}  // namespace radishyard
