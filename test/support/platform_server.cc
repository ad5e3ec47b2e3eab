// HTTP sessions of the platform stand-in over Boost.Beast.
#include "support/platform_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "store/http_store.h"
#include "store/store_codec.h"

namespace radishyard {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::string_view kObjects = "/v1/objects/";

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      decoded += text[i];
      continue;
    }
    const std::string hex(text.substr(i + 1, 2));
    decoded += static_cast<char>(std::strtol(hex.c_str(), nullptr, 16));
    i += 2;
  }
  return decoded;
}

/// Value of the parameter `name` in the query of `target`; empty if it is
/// missing.
std::string GetQueryParameter(std::string_view target,
                              const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string_view pair = target.substr(at + 1, end - at - 1);
    if (pair.starts_with(name + "="))
      return DecodePercent(pair.substr(name.size() + 1));
    at = end;
  }
  return {};
}

uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::optional<store_fault> ParseFault(const json& j) {
  static const std::map<std::string, fault_mode> modes = {
      {"none", fault_mode::kNone},
      {"outage", fault_mode::kOutage},
      {"slow", fault_mode::kSlow},
      {"lost_answer", fault_mode::kLostResponse},
      {"stale_read", fault_mode::kStaleRead},
      {"old_watch", fault_mode::kStaleWatch}};
  try {
    return store_fault{modes.at(j.value("mode", "")),
                       milliseconds(j.value("delay_ms", 0)),
                       j.value("count", 0U)};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// The HTTP session of one connection.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(platform_server& server, asio::ip::tcp::socket socket)
      : server_(server), stream_(std::move(socket)) {}

  void Close() { stream_.close(); }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxValueBytes);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       if (!error) self->Handle();
                     });
  }

 private:
  void Handle() {
    const auto& request = parser_->get();
    const std::string target(request.target());
    if (target.starts_with("/admin/")) return HandleAdmin(target);
    fake_store& store = server_.Client(std::string(request["X-Client"]));
    if (target == "/v1/vms")
      return store.ListVms(MakeReplyHandler(internal::FormatVms));
    const std::string prefix = GetQueryParameter(target, "prefix");
    if (target.starts_with("/v1/watch"))
      return store.Watch(
          prefix, ToNumber(GetQueryParameter(target, "after")),
          milliseconds(ToNumber(GetQueryParameter(target, "wait_ms"))),
          MakeReplyHandler(internal::FormatBatch));
    if (target.starts_with("/v1/objects?"))
      return store.List(prefix, MakeReplyHandler(internal::FormatBatch));
    if (!target.starts_with(kObjects)) return SendResponse(404, "");
    HandleObject(
        store, DecodePercent(std::string_view(target).substr(kObjects.size())));
  }

  void HandleObject(fake_store& store, const std::string& key) {
    const auto& request = parser_->get();
    if (request.method() != http::verb::put)
      return store.Get(key, MakeReplyHandler(internal::FormatObject));
    const std::string match(request["If-Match"]);
    const bool is_new = request["If-None-Match"] == "*";
    if (!is_new && match.size() < 3) return SendResponse(400, "");
    const uint64_t expected =
        is_new ? 0 : ToNumber(match.substr(1, match.size() - 2));
    store.Put(key, request.body(), expected,
              MakeReplyHandler(internal::FormatVersion));
  }

  void HandleAdmin(const std::string& target) {
    if (target == "/admin/calls")
      return SendResponse(200, server_.FormatCalls());
    const std::string& body = parser_->get().body();
    if (target == "/admin/vms") {
      const auto vms = internal::ParseVms(body);
      if (vms) server_.platform().SetVms(*vms);
      return SendResponse(vms ? 200 : 400, "");
    }
    const json j = json::parse(body, nullptr, false);
    const std::optional<store_fault> fault = ParseFault(j);
    if (target != "/admin/fault" || !fault) return SendResponse(400, "");
    if (j.contains("client") && j["client"].is_string()) {
      server_.Client(j["client"].get<std::string>()).SetFault(*fault);
    } else {
      server_.SetFault(*fault);
    }
    SendResponse(200, "");
  }

  /// Returns a handler that sends the value, formatted by `format`, as the
  /// response. On an outage or a lost response it closes the connection
  /// instead.
  template <typename T>
  store_handler<std::remove_cvref_t<T>> MakeReplyHandler(
      std::string (*format)(T)) {
    using value_type = std::remove_cvref_t<T>;
    return [self = shared_from_this(), format](
               const std::optional<value_type>& value, const failure& why) {
      if (value) return self->SendResponse(200, format(*value));
      if (why.kind == failure_kind::kNotFound)
        return self->SendResponse(404, "");
      if (why.kind == failure_kind::kConflict)
        return self->SendResponse(412, "");
      self->stream_.close();
    };
  }

  void SendResponse(unsigned status, std::string body) {
    response_ = {};
    response_.result(status);
    response_.set(http::field::content_type, "application/json");
    response_.keep_alive(parser_->get().keep_alive());
    response_.body() = std::move(body);
    response_.prepare_payload();
    http::async_write(stream_, response_,
                      [self = shared_from_this()](error_code error, size_t) {
                        if (!error) self->Read();
                      });
  }

  platform_server& server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

}  // namespace

platform_server::platform_server(asio::io_context& io, uint16_t port)
    : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), port}) {
  Accept();
}

fake_store& platform_server::Client(const std::string& name) {
  std::unique_ptr<fake_store>& client = clients_[name];
  if (!client) {
    client = std::make_unique<fake_store>(io_, platform_);
    client->SetFault(fault_);
  }
  return *client;
}

void platform_server::SetFault(const store_fault& fault) {
  fault_ = fault;
  for (const auto& [name, client] : clients_) client->SetFault(fault);
}

std::string platform_server::FormatCalls() const {
  json clients = json::object();
  for (const auto& [name, client] : clients_) {
    const call_counts& calls = client->calls();
    clients[name] = {{"gets", calls.gets},
                     {"lists", calls.lists},
                     {"puts", calls.puts},
                     {"watches", calls.watches},
                     {"vms", calls.vms}};
  }
  return clients.dump();
}

void platform_server::CloseConnections() {
  for (const auto& close : connection_closers_) close();
}

void platform_server::Accept() {
  acceptor_.async_accept([this](error_code error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return Accept();
    const auto next = std::make_shared<http_session>(*this, std::move(socket));
    connection_closers_.emplace_back([weak = std::weak_ptr(next)] {
      if (const auto open = weak.lock()) open->Close();
    });
    next->Read();
    Accept();
  });
}

}  // namespace radishyard
