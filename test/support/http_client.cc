// Boost.Beast stays out of the header. Calls are asynchronous because the
// timeouts of Beast do not apply to synchronous ones.
#include "support/http_client.h"

#include "base/asio.h"
// Must precede the headers of Beast.
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace radishyard {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds kTimeout{10};

std::optional<http_response> SendRequest(
    const endpoint& server, http::request<http::string_body> request,
    failure& why) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  error_code last_error;
  request.set(http::field::host, ToString(server));
  request.prepare_payload();
  stream.expires_after(kTimeout);
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(server.address),
                              server.port),
      [&](error_code error) {
        last_error = error;
        if (error) return;
        http::async_write(stream, request, [&](error_code write_error, size_t) {
          last_error = write_error;
          if (write_error) return;
          http::async_read(
              stream, buffer, response,
              [&](error_code read_error, size_t) { last_error = read_error; });
        });
      });
  io.run();
  if (last_error) {
    why = {failure_kind::kUnavailable, last_error.message()};
    return std::nullopt;
  }
  return http_response{response.result_int(), response.body()};
}

}  // namespace

std::optional<http_response> HttpGet(const endpoint& server,
                                     const std::string& path, failure& why) {
  return SendRequest(server, {http::verb::get, path, 11}, why);
}

std::optional<http_response> HttpPost(const endpoint& server,
                                      const std::string& path,
                                      const std::string& body, failure& why) {
  return SendRequest(server, {http::verb::post, path, 11, body}, why);
}

}  // namespace radishyard
