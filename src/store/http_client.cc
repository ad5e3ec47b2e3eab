// Implements the HTTP client with Boost.Beast, which no other source of this
// module includes.
#include "store/http_client.h"

#include <netinet/tcp.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <set>
#include <utility>

namespace radishyard::internal {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr size_t kMaxPersistentConnections = 2;
constexpr unsigned kHttpVersion = 11;
/// Bound of the body of a response. A list holds many values of up to 1 MiB
/// each.
constexpr uint64_t kMaxResponseBytes = 16U << 20;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

/// Idle time after which TCP probes a connection, and interval between probes.
constexpr int kKeepAliveSeconds = 1;
/// Unacknowledged probes after which TCP drops a connection.
constexpr int kKeepAliveProbes = 2;

/// Enables TCP keep-alive. Without it, a request that waits for long would not
/// detect that the server has become unreachable.
void EnableKeepAlive(beast::tcp_stream& stream) {
  using idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  error_code ignored;  // Without probes, the timeout of the request applies.
  auto& socket = stream.socket();
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(idle(kKeepAliveSeconds), ignored);
  socket.set_option(interval(kKeepAliveSeconds), ignored);
  socket.set_option(count(kKeepAliveProbes), ignored);
}

/// Returns true if the server has neither closed an idle connection nor sent
/// unrequested data over it.
bool IsReusable(beast::tcp_stream& stream) {
  char byte = 0;
  error_code error;
  stream.socket().non_blocking(true, error);
  if (error) return false;
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

http::verb ToVerb(http_method method) {
  switch (method) {
    case http_method::kPut:
      return http::verb::put;
    case http_method::kPost:
      return http::verb::post;
    case http_method::kDelete:
      return http::verb::delete_;
    case http_method::kGet:
      break;
  }
  return http::verb::get;
}

http::request<http::string_body> ToBeast(const http_request& request,
                                         const std::string& host) {
  http::request<http::string_body> message(ToVerb(request.method),
                                           request.target, kHttpVersion);
  message.set(http::field::host, host);
  for (const http_field& f : request.fields) message.set(f.name, f.value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

std::vector<http_field> ToFields(const http::fields& header) {
  std::vector<http_field> fields;
  for (const auto& each : header) {
    std::string name(each.name_string());
    for (char& c : name)
      if (c >= 'A' && c <= 'Z') c += 'a' - 'A';
    fields.push_back({std::move(name), std::string(each.value())});
  }
  return fields;
}

/// Returns true if a response is not valid HTTP, as opposed to truncated.
bool IsHttpError(error_code error) {
  const error_code any_http_error = http::error::bad_version;
  return error.category() == any_http_error.category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

/// One request and its response over one connection.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
 public:
  using done_handler =
      std::function<void(const std::shared_ptr<http_exchange>&, http_result)>;

  http_exchange(stream_ptr stream, const http_request& request,
                const std::string& host, time_point deadline, done_handler done)
      : stream_(std::move(stream)),
        request_(ToBeast(request, host)),
        done_(std::move(done)) {
    parser_.body_limit(kMaxResponseBytes);
    stream_->expires_at(deadline);
  }

  void StartOnNewConnection(const asio::ip::tcp::endpoint& server) {
    stream_->async_connect(server,
                           [self = shared_from_this()](error_code error) {
                             if (error) return self->Fail(error);
                             EnableKeepAlive(*self->stream_);
                             self->StartOnOpenConnection();
                           });
  }

  void StartOnOpenConnection() {
    http::async_write(*stream_, request_,
                      [self = shared_from_this()](error_code error, size_t n) {
                        self->result_.sent = n > 0;
                        if (error) return self->Fail(error);
                        self->ReadHeader();
                      });
  }

  void Cancel() {
    done_ = nullptr;
    stream_->close();
  }

  /// Returns the connection if it can carry another request, otherwise null.
  /// Bytes after the response, such as a second copy of it, would be taken for
  /// the response to the next request.
  stream_ptr TakeStream() {
    const bool keep =
        result_.response && parser_.get().keep_alive() && buffer_.size() == 0;
    if (!keep) return nullptr;
    stream_->expires_never();
    return std::move(stream_);
  }

 private:
  /// The parser checks the announced length of the body against its limit only
  /// at the end of the header. Read in one operation, a body whose first bytes
  /// are there is reserved before.
  void ReadHeader() {
    http::async_read_header(
        *stream_, buffer_, parser_,
        [self = shared_from_this()](error_code error, size_t) {
          if (error) return self->Fail(error);
          self->ReadBody();
        });
  }

  void ReadBody() {
    http::async_read(*stream_, buffer_, parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       if (error) return self->Fail(error);
                       self->Succeed();
                     });
  }

  void Succeed() {
    auto& message = parser_.get();
    result_.response = http_response{
        message.result_int(), std::move(message.body()), ToFields(message)};
    Finish();
  }

  void Fail(error_code error) {
    result_.malformed = IsHttpError(error);
    result_.reason = error.message();
    stream_->close();
    Finish();
  }

  void Finish() {
    if (!done_) return;
    const done_handler done = std::exchange(done_, nullptr);
    done(shared_from_this(), result_);
  }

  stream_ptr stream_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  beast::flat_buffer buffer_;
  http_result result_;
  done_handler done_;  ///< Null once it was called or the exchange cancelled.
};

}  // namespace

/// The connections and queued requests of a client. Handlers of operations in
/// progress keep it alive after the client is destroyed.
class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, const endpoint& server, duration timeout)
      : io_(io),
        server_(asio::ip::address_v4(server.address), server.port),
        host_(server_.address().to_string() + ":" +
              std::to_string(server.port)),
        timeout_(timeout) {}

  void Send(http_request request, http_handler handler) {
    const time_point deadline = std::chrono::steady_clock::now() + timeout_;
    queue_.push_back({std::move(request), deadline, std::move(handler)});
    StartQueuedRequests();
  }

  void SendOnNewConnection(const http_request& request, duration wait,
                           http_handler handler) {
    const time_point now = std::chrono::steady_clock::now();
    const auto exchange = std::make_shared<http_exchange>(
        NewStream(), request, host_, now + timeout_ + wait,
        [self = shared_from_this(), handler = std::move(handler)](
            const std::shared_ptr<http_exchange>& ended,
            const http_result& result) {
          self->running_exchanges_.erase(ended);
          self->DropDoubtfulStreams(result);
          handler(result);
        });
    running_exchanges_.insert(exchange);
    exchange->StartOnNewConnection(server_);
  }

  void Stop() {
    queue_.clear();
    idle_streams_.clear();
    for (const auto& exchange : std::exchange(running_exchanges_, {}))
      exchange->Cancel();
  }

 private:
  struct queued_request {
    http_request request;
    time_point deadline;
    http_handler handler;
  };

  stream_ptr NewStream() { return std::make_unique<beast::tcp_stream>(io_); }

  /// Starts queued requests while there are free connections.
  void StartQueuedRequests() {
    while (!queue_.empty() && active_exchanges_ < kMaxPersistentConnections) {
      queued_request next = std::move(queue_.front());
      queue_.pop_front();
      Start(std::move(next));
    }
  }

  void Start(queued_request next) {
    stream_ptr idle_stream = TakeIdleStream();
    const bool is_reused = idle_stream != nullptr;
    const auto exchange = std::make_shared<http_exchange>(
        is_reused ? std::move(idle_stream) : NewStream(), next.request, host_,
        next.deadline,
        [self = shared_from_this(), handler = std::move(next.handler)](
            const std::shared_ptr<http_exchange>& ended,
            const http_result& result) {
          self->FinishExchange(ended, result, handler);
        });
    ++active_exchanges_;
    running_exchanges_.insert(exchange);
    is_reused ? exchange->StartOnOpenConnection()
              : exchange->StartOnNewConnection(server_);
  }

  void FinishExchange(const std::shared_ptr<http_exchange>& ended,
                      const http_result& result, const http_handler& handler) {
    --active_exchanges_;
    running_exchanges_.erase(ended);
    DropDoubtfulStreams(result);
    if (stream_ptr stream = ended->TakeStream())
      idle_streams_.push_back(std::move(stream));
    StartQueuedRequests();
    handler(result);
  }

  /// Closes the idle connections after a request without a response. What has
  /// silenced its connection may have silenced them too, and the next request
  /// would wait for its timeout to find out.
  void DropDoubtfulStreams(const http_result& result) {
    if (!result.response) idle_streams_.clear();
  }

  /// Returns an idle connection that is still usable, or null.
  stream_ptr TakeIdleStream() {
    while (!idle_streams_.empty()) {
      stream_ptr stream = std::move(idle_streams_.back());
      idle_streams_.pop_back();
      if (IsReusable(*stream)) return stream;
    }
    return nullptr;
  }

  asio::io_context& io_;
  asio::ip::tcp::endpoint server_;
  std::string host_;
  duration timeout_;
  std::deque<queued_request> queue_;
  std::vector<stream_ptr> idle_streams_;
  std::set<std::shared_ptr<http_exchange>> running_exchanges_;
  /// Number of exchanges in progress on persistent connections.
  size_t active_exchanges_ = 0;
};

http_client::http_client(asio::io_context& io, const endpoint& server,
                         duration timeout)
    : impl_(std::make_shared<impl>(io, server, timeout)) {}

http_client::~http_client() { impl_->Stop(); }

void http_client::Send(http_request request, http_handler handler) {
  impl_->Send(std::move(request), std::move(handler));
}

void http_client::SendOnNewConnection(const http_request& request,
                                      duration wait, http_handler handler) {
  impl_->SendOnNewConnection(request, wait, std::move(handler));
}

}  // namespace radishyard::internal
