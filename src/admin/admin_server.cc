// HTTP server on Boost.Beast, which stays out of the header.
#include "admin/admin_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace radishyard {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds kSessionTimeout{10};
/// Delay after a failed accept, for example without a free file descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

// One HTTP connection. It reads a request, sends the response, and repeats this
// until the client closes the connection, or until a request and its response
// take longer than kSessionTimeout.
class session : public std::enable_shared_from_this<session> {
 public:
  session(asio::ip::tcp::socket socket,
          std::shared_ptr<const admin_server::page_map> pages)
      : stream_(std::move(socket)), pages_(std::move(pages)) {}

  void ReadRequest() {
    request_ = {};
    stream_.expires_after(kSessionTimeout);
    http::async_read(stream_, buffer_, request_,
                     [self = shared_from_this()](error_code error, size_t) {
                       if (!error) self->SendResponse();
                     });
  }

 private:
  void SendResponse() {
    response_ = {};
    response_.version(request_.version());
    response_.keep_alive(request_.keep_alive());
    const auto page = pages_->find(std::string(request_.target()));
    if (request_.method() != http::verb::get) {
      response_.result(http::status::method_not_allowed);
    } else if (page == pages_->end()) {
      response_.result(http::status::not_found);
    } else {
      admin_page content = page->second();
      response_.result(content.status);
      response_.set(http::field::content_type, content.media_type);
      response_.body() = std::move(content.body);
    }
    response_.prepare_payload();
    http::async_write(stream_, response_,
                      [self = shared_from_this()](error_code error, size_t) {
                        if (!error && self->response_.keep_alive())
                          self->ReadRequest();
                      });
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  std::shared_ptr<const admin_server::page_map> pages_;
};

}  // namespace

class admin_server::listener : public std::enable_shared_from_this<listener> {
 public:
  listener(asio::io_context& io, const endpoint& listen, page_map pages)
      : acceptor_(io, {asio::ip::address_v4(listen.address), listen.port}),
        retry_timer_(io),
        pages_(std::make_shared<const page_map>(std::move(pages))) {}

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](
                               error_code error, asio::ip::tcp::socket socket) {
      if (error == asio::error::operation_aborted) return;
      if (error) return self->AcceptLater();
      std::make_shared<session>(std::move(socket), self->pages_)->ReadRequest();
      self->Accept();
    });
  }
  void Close() {
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
  }

 private:
  void AcceptLater() {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::shared_ptr<const page_map> pages_;
};

admin_server::admin_server(asio::io_context& io, const endpoint& listen,
                           page_map pages)
    : listener_(std::make_shared<listener>(io, listen, std::move(pages))) {
  listener_->Accept();
}

admin_server::~admin_server() { listener_->Close(); }

}  // namespace radishyard
