// Implements the stand-in for the platform's store with Boost.Beast.
#include "review_store.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace radishyard::review {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using json = nlohmann::json;

constexpr size_t kMaxPageItems = 500;
constexpr size_t kMaxPageBytes = 1'000'000;
constexpr unsigned kOk = 200, kNotFound = 404;

/// Returns the value of a parameter in a request target, or an empty text.
std::string GetParameter(const std::string& target, const std::string& key) {
  const size_t at = target.find(key + "=");
  if (at == std::string::npos) return "";
  const size_t begin = at + key.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace

class review_store::core : public std::enable_shared_from_this<core> {
 public:
  explicit core(asio::io_context& io)
      : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {}

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](
                               error_code error, asio::ip::tcp::socket socket) {
      if (error) return;
      std::make_shared<session>(std::move(socket), self)->Read();
      self->Accept();
    });
  }

  void Stop() {
    error_code ignored;
    acceptor_.close(ignored);
    watches_.clear();
  }

  void Put(const std::string& kind, const std::string& name, const json& spec,
           const json& finalizers) {
    ++revision_;
    const json object{{"meta",
                       {{"name", name},
                        {"revision", revision_},
                        {"created", revision_},
                        {"finalizers", finalizers},
                        {"deleting", false}}},
                      {"spec", spec},
                      {"status", nullptr}};
    kinds_[kind][name] = object;
    history_.push_back(
        {revision_, kind, {{"deleted", false}, {"object", object}}});
    for (const auto& watch : std::set(watches_)) watch->RespondToWatch(false);
  }

  /// One connection. It answers its requests one after the other.
  class session : public std::enable_shared_from_this<session> {
   public:
    session(asio::ip::tcp::socket socket, std::shared_ptr<core> server)
        : stream_(std::move(socket)),
          server_(std::move(server)),
          timer_(server_->io_) {}

    void Read() {
      request_ = {};
      http::async_read(stream_, buffer_, request_,
                       [self = shared_from_this()](error_code error, size_t) {
                         if (!error) self->HandleRequest();
                       });
    }

    /// Answers a watch if there are events for it or its time is over.
    void RespondToWatch(bool has_timed_out) {
      json events = json::array();
      for (const change& entry : server_->history_)
        if (entry.revision > watch_revision_ && entry.kind == kind_)
          events.push_back(entry.event);
      if (events.empty() && !has_timed_out) return;
      server_->watches_.erase(shared_from_this());
      timer_.cancel();
      Respond(kOk, {{"events", events}, {"storeRevision", server_->revision_}});
    }

   private:
    void HandleRequest() {
      if (server_->is_silent_) return KeepOpen();
      const bool is_list = request_.target() == "/objects/servers";
      if (is_list && server_->malformed_lists_left_ > 0)
        return RespondMalformed();
      const std::string target(request_.target());
      const std::string prefix = "/objects/";
      if (target.rfind(prefix, 0) != 0) return Respond(kNotFound, {});
      kind_ = target.substr(prefix.size(), target.find('?') - prefix.size());
      const std::string revision = GetParameter(target, "watch");
      if (revision.empty())
        return Respond(kOk,
                       server_->MakePage(kind_, GetParameter(target, "after")));
      watch_revision_ = std::stoull(revision);
      server_->watches_.insert(shared_from_this());
      timer_.expires_after(std::chrono::milliseconds(
          std::stoll(GetParameter(target, "waitMs"))));
      timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error) self->RespondToWatch(true);
      });
      RespondToWatch(false);
    }

    void RespondMalformed() {
      --server_->malformed_lists_left_;
      malformed_ = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n{}";
      asio::async_write(stream_, asio::buffer(malformed_),
                        [self = shared_from_this()](error_code, size_t) {
                          self->KeepOpen();
                        });
    }

    /// Returns nothing further on this connection until the client closes it.
    void KeepOpen() {
      stream_.async_read_some(
          asio::buffer(ignored_bytes_),
          [self = shared_from_this()](error_code error, size_t) {
            if (!error) self->KeepOpen();
          });
    }

    void Respond(unsigned status, const json& body) {
      response_ = {};
      response_.version(request_.version());
      response_.keep_alive(request_.keep_alive());
      response_.result(status);
      response_.body() = body.dump();
      response_.prepare_payload();
      http::async_write(stream_, response_,
                        [self = shared_from_this()](error_code error, size_t) {
                          if (!error) self->Read();
                        });
    }

    beast::tcp_stream stream_;
    std::shared_ptr<core> server_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::array<char, 4096> ignored_bytes_{};
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
    std::string malformed_;
    std::string kind_;
    uint64_t watch_revision_ = 0;
  };

  struct change {
    uint64_t revision = 0;
    std::string kind;
    json event;
  };

  /// Lists the objects after the name `after`. A page ends before an item with
  /// which it would exceed its bounds, but has at least one.
  json MakePage(const std::string& kind, const std::string& after) {
    json items = json::array();
    size_t bytes = 0;
    const auto& objects = kinds_[kind];
    auto at = objects.upper_bound(after);
    for (; at != objects.end() && items.size() < kMaxPageItems; ++at) {
      bytes += at->second.dump().size();
      if (!items.empty() && bytes > kMaxPageBytes) break;
      items.push_back(at->second);
    }
    return {{"items", items},
            {"more", at != objects.end()},
            {"storeRevision", revision_}};
  }

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, std::map<std::string, json>> kinds_;
  std::vector<change> history_;
  uint64_t revision_ = 1;
  bool is_silent_ = false;
  int malformed_lists_left_ = 0;
  std::set<std::shared_ptr<session>> watches_;
};

review_store::review_store(asio::io_context& io)
    : core_(std::make_shared<core>(io)) {
  core_->Accept();
}

review_store::~review_store() { core_->Stop(); }

uint16_t review_store::port() const {
  return core_->acceptor_.local_endpoint().port();
}

void review_store::Put(const std::string& kind, const std::string& name,
                       const nlohmann::json& spec,
                       const nlohmann::json& finalizers) {
  core_->Put(kind, name, spec, finalizers);
}

void review_store::SetSilent(bool is_silent) { core_->is_silent_ = is_silent; }

void review_store::MalformLists(int count) {
  core_->malformed_lists_left_ = count;
}

int review_store::malformed_lists_left() const {
  return core_->malformed_lists_left_;
}

}  // namespace radishyard::review
