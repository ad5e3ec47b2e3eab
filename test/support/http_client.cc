// Boost.Beast, kept in this file. Asynchronous calls carry the time limit.
#include "support/http_client.h"

#include "base/asio.h"
// Beast needs the header above first.
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace radishyard {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds kTimeout{10};

std::optional<http_response> Exchange(const endpoint& at,
                                      http::request<http::string_body> request,
                                      failure& why) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  error_code last;
  request.set(http::field::host, ToString(at));
  request.prepare_payload();
  stream.expires_after(kTimeout);
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(at.address), at.port),
      [&](error_code error) {
        last = error;
        if (error) return;
        http::async_write(stream, request, [&](error_code failed, size_t) {
          last = failed;
          if (failed) return;
          http::async_read(stream, buffer, response,
                           [&](error_code end, size_t) { last = end; });
        });
      });
  io.run();
  if (last) {
    why = {failure_kind::kUnavailable, last.message()};
    return std::nullopt;
  }
  return http_response{response.result_int(), response.body()};
}

}  // namespace

std::optional<http_response> HttpGet(const endpoint& at,
                                     const std::string& path, failure& why) {
  return Exchange(at, {http::verb::get, path, 11}, why);
}

std::optional<http_response> HttpPost(const endpoint& at,
                                      const std::string& path,
                                      const std::string& body, failure& why) {
  return Exchange(at, {http::verb::post, path, 11, body}, why);
}

}  // namespace radishyard
