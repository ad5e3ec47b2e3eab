// The HTTP client over Boost.Beast; the only source that includes it here.
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

constexpr size_t kKeptConnections = 2;
constexpr unsigned kHttpVersion = 11;
/// Bound of a whole answer. A list carries many values of at most 1 MB each.
constexpr uint64_t kMaxAnswerBytes = 16U << 20;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

/// Silence after which a connection is probed, and between probes, in seconds.
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

/// Has the kernel probe a silent connection: a call that waits long would
/// otherwise not notice that the path is gone.
void KeepAlive(beast::tcp_stream& stream) {
  using idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  error_code ignored;  // Without probes the timeout of the call remains.
  auto& socket = stream.socket();
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(idle(kProbeSeconds), ignored);
  socket.set_option(interval(kProbeSeconds), ignored);
  socket.set_option(count(kProbes), ignored);
}

/// True while the server has neither closed an idle connection nor sent
/// anything over it unasked.
bool IsReusable(beast::tcp_stream& stream) {
  char byte = 0;
  error_code error;
  stream.socket().non_blocking(true, error);
  if (error) return false;
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

http::request<http::string_body> ToBeast(const http_request& request,
                                         const std::string& host) {
  http::request<http::string_body> message(
      request.is_put ? http::verb::put : http::verb::get, request.target,
      kHttpVersion);
  message.set(http::field::host, host);
  for (const http_field& f : request.fields) message.set(f.name, f.value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

/// True where an answer broke HTTP, rather than being cut short.
bool IsHttpError(error_code error) {
  const error_code sample = http::error::bad_version;
  return error.category() == sample.category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

/// One request and its answer over one connection.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  using done_handler =
      std::function<void(const std::shared_ptr<exchange>&, http_result)>;

  exchange(stream_ptr stream, const http_request& request,
           const std::string& host, time_point deadline, done_handler done)
      : stream_(std::move(stream)),
        request_(ToBeast(request, host)),
        done_(std::move(done)) {
    parser_.body_limit(kMaxAnswerBytes);
    stream_->expires_at(deadline);
  }

  void StartOnNew(const asio::ip::tcp::endpoint& server) {
    stream_->async_connect(server,
                           [self = shared_from_this()](error_code error) {
                             if (error) return self->Fail(error);
                             KeepAlive(*self->stream_);
                             self->StartOnKept();
                           });
  }

  void StartOnKept() {
    http::async_write(*stream_, request_,
                      [self = shared_from_this()](error_code error, size_t n) {
                        self->result_.sent = n > 0;
                        if (error) return self->Fail(error);
                        self->Read();
                      });
  }

  void Cancel() {
    done_ = nullptr;
    stream_->close();
  }

  /// The connection, where it can carry another request; else null.
  stream_ptr TakeStream() {
    const bool keep = result_.response && parser_.get().keep_alive();
    if (!keep) return nullptr;
    stream_->expires_never();
    return std::move(stream_);
  }

 private:
  void Read() {
    http::async_read(*stream_, buffer_, parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       if (error) return self->Fail(error);
                       self->Succeed();
                     });
  }

  void Succeed() {
    result_.response = http_response{parser_.get().result_int(),
                                     std::move(parser_.get().body())};
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
  done_handler done_;  ///< Null once called or cancelled.
};

}  // namespace

/// Connections and waiting requests; outlives the client while an operation of
/// its own completes.
class http_client::core : public std::enable_shared_from_this<core> {
 public:
  core(asio::io_context& io, const endpoint& server, duration timeout)
      : io_(io),
        server_(asio::ip::address_v4(server.address), server.port),
        host_(server_.address().to_string() + ":" +
              std::to_string(server.port)),
        timeout_(timeout) {}

  void Send(http_request request, http_handler handler) {
    const time_point deadline = std::chrono::steady_clock::now() + timeout_;
    waiting_.push_back({std::move(request), deadline, std::move(handler)});
    Pump();
  }

  void SendOnNewConnection(const http_request& request, duration wait,
                           http_handler handler) {
    const time_point now = std::chrono::steady_clock::now();
    const auto call = std::make_shared<exchange>(
        NewStream(), request, host_, now + timeout_ + wait,
        [self = shared_from_this(), handler = std::move(handler)](
            const std::shared_ptr<exchange>& ended, const http_result& result) {
          self->running_.erase(ended);
          handler(result);
        });
    running_.insert(call);
    call->StartOnNew(server_);
  }

  void Stop() {
    waiting_.clear();
    idle_.clear();
    for (const auto& call : std::exchange(running_, {})) call->Cancel();
  }

 private:
  struct pending {
    http_request request;
    time_point deadline;
    http_handler handler;
  };

  stream_ptr NewStream() { return std::make_unique<beast::tcp_stream>(io_); }

  /// Starts waiting requests while connections are free.
  void Pump() {
    while (!waiting_.empty() && active_ < kKeptConnections) {
      pending next = std::move(waiting_.front());
      waiting_.pop_front();
      Start(std::move(next));
    }
  }

  void Start(pending next) {
    stream_ptr kept = TakeIdle();
    const bool is_kept = kept != nullptr;
    const auto call = std::make_shared<exchange>(
        is_kept ? std::move(kept) : NewStream(), next.request, host_,
        next.deadline,
        [self = shared_from_this(), handler = std::move(next.handler)](
            const std::shared_ptr<exchange>& ended, const http_result& result) {
          self->End(ended, result, handler);
        });
    ++active_;
    running_.insert(call);
    is_kept ? call->StartOnKept() : call->StartOnNew(server_);
  }

  void End(const std::shared_ptr<exchange>& ended, const http_result& result,
           const http_handler& handler) {
    --active_;
    running_.erase(ended);
    if (stream_ptr stream = ended->TakeStream())
      idle_.push_back(std::move(stream));
    Pump();
    handler(result);
  }

  /// A kept connection that is still good, or null.
  stream_ptr TakeIdle() {
    while (!idle_.empty()) {
      stream_ptr stream = std::move(idle_.back());
      idle_.pop_back();
      if (IsReusable(*stream)) return stream;
    }
    return nullptr;
  }

  asio::io_context& io_;
  asio::ip::tcp::endpoint server_;
  std::string host_;
  duration timeout_;
  std::deque<pending> waiting_;
  std::vector<stream_ptr> idle_;
  std::set<std::shared_ptr<exchange>> running_;
  size_t active_ = 0;  ///< Requests on kept connections.
};

http_client::http_client(asio::io_context& io, const endpoint& server,
                         duration timeout)
    : core_(std::make_shared<core>(io, server, timeout)) {}

http_client::~http_client() { core_->Stop(); }

void http_client::Send(http_request request, http_handler handler) {
  core_->Send(std::move(request), std::move(handler));
}

void http_client::SendOnNewConnection(const http_request& request,
                                      duration wait, http_handler handler) {
  core_->SendOnNewConnection(request, wait, std::move(handler));
}

}  // namespace radishyard::internal
