// An asynchronous HTTP client of one server: a few kept connections for
// ordinary calls, and a connection of its own for a call that waits long.
#pragma once
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

/// \brief A request; the method is GET unless `is_put`.
struct http_request {
  bool is_put = false;
  std::string target;  ///< Path and query, percent-encoded.
  std::vector<http_field> fields;
  std::string body;
  auto operator<=>(const http_request&) const = default;
};

/// \brief A whole answer.
struct http_response {
  unsigned status = 0;
  std::string body;
  auto operator<=>(const http_response&) const = default;
};

/// \brief What became of a request. Without an answer, `sent` tells whether
/// the server may have received any of it.
struct http_result {
  std::optional<http_response> response;
  bool sent = false;
  bool malformed = false;  ///< An answer came, but it broke HTTP or its bound.
  std::string reason;
};

using http_handler = std::function<void(const http_result&)>;

/// \brief A client of the server at `server`.
///
/// Requests beyond the kept connections wait in order; since all have the same
/// timeout, none waits past its own. \warning Destroying the client drops the
/// handlers of requests in progress without a call.
class http_client {
 public:
  http_client(asio::io_context& io, const endpoint& server, duration timeout);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// \brief Sends over a kept connection.
  void Send(http_request request, http_handler handler);
  /// \brief Sends over a new connection, with `wait` on top of the timeout.
  void SendOnNewConnection(const http_request& request, duration wait,
                           http_handler handler);

 private:
  class core;
  std::shared_ptr<core> core_;
};

}  // namespace radishyard::internal
