// An asynchronous HTTP client of one server. Ordinary requests share a few
// persistent connections; a request that waits for long gets a connection of
// its own.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/time.h"
#include "packet/flow_key.h"

namespace radishyard::internal {

/// \brief A header field of a request.
struct http_field {
  std::string name;
  std::string value;
  auto operator<=>(const http_field&) const = default;
};

/// \brief Methods of requests.
enum class http_method : uint8_t { kGet, kPut, kPost, kDelete };

/// \brief A request.
struct http_request {
  http_method method = http_method::kGet;
  std::string target;  ///< Path and query, percent-encoded.
  std::vector<http_field> fields;
  std::string body;
  auto operator<=>(const http_request&) const = default;
};

/// \brief A complete response.
struct http_response {
  unsigned status = 0;
  std::string body;
  /// Of its header. Names are case-insensitive; here they are in lower case.
  std::vector<http_field> fields;
  auto operator<=>(const http_response&) const = default;
};

/// \brief The outcome of a request: a response, or the reason why there is
/// none.
struct http_result {
  std::optional<http_response> response;
  /// True if part of the request was sent, so that the server may have received
  /// it.
  bool sent = false;
  /// True if a response was received that is not valid HTTP or exceeds the
  /// bound on its size.
  bool malformed = false;
  std::string reason;  ///< Error text; empty if there is a response.
};

using http_handler = std::function<void(const http_result&)>;

/// \brief A client of the server at `server`.
///
/// While all persistent connections are in use, further requests wait in a FIFO
/// queue. The timeout of a request includes its time in the queue. It is the
/// same for all requests, so those in front of a request time out no later than
/// it does, and no request stays in the queue beyond its own timeout.
/// \warning Destroying the client discards the handlers of requests in progress
/// without calling them.
class http_client {
 public:
  http_client(asio::io_context& io, const endpoint& server, duration timeout);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// \brief Sends `request` over a persistent connection.
  void Send(http_request request, http_handler handler);
  /// \brief Sends `request` over a new connection.
  /// \param wait is added to the timeout.
  void SendOnNewConnection(const http_request& request, duration wait,
                           http_handler handler);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishyard::internal
