// Tests how the HTTP store reports a platform that refuses connections, closes
// them early, responds late or sends malformed responses.
#include "store/http_store.h"

#include <gtest/gtest.h>

#include "support/free_port.h"
#include "support/platform_server.h"

namespace radishyard {
namespace {

constexpr uint32_t kLoopback = 0x7F000001;
constexpr auto kTimeout = 200ms;

/// A server that sends the same text in response to each request, then closes
/// the connection.
class scripted_server {
 public:
  scripted_server(asio::io_context& io, std::string response)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
        response_(std::move(response)) {
    Accept();
  }
  endpoint address() const {
    return {kLoopback, acceptor_.local_endpoint().port()};
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code error, auto socket) {
      if (error) return;
      const auto peer =
          std::make_shared<asio::ip::tcp::socket>(std::move(socket));
      const auto text = std::make_shared<std::string>();
      asio::async_read_until(*peer, asio::dynamic_buffer(*text), "\r\n\r\n",
                             [this, peer, text](error_code, size_t) {
                               asio::async_write(*peer, asio::buffer(response_),
                                                 [peer](error_code, size_t) {});
                             });
      Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string response_;
};

struct call_failures {
  failure_kind get = failure_kind::kNone;
  failure_kind put = failure_kind::kNone;
  auto operator<=>(const call_failures&) const = default;
};

/// Calls Get and Put at `platform` and returns how they fail.
call_failures CallGetAndPut(asio::io_context& io, const endpoint& platform) {
  const auto store = MakeHttpStore(io, platform, kTimeout);
  call_failures result;
  int pending = 2;
  store->Get("a", [&](auto value, const failure& why) {
    EXPECT_FALSE(value);
    result.get = why.kind;
    --pending;
  });
  store->Put("a", "1", 0, [&](auto value, const failure& why) {
    EXPECT_FALSE(value);
    result.put = why.kind;
    --pending;
  });
  while (pending > 0 && io.run_one_for(5s) > 0) {
  }
  EXPECT_EQ(pending, 0);
  return result;
}

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST(HttpStore, ReportsUnavailableWhenTheConnectionIsRefused) {
  asio::io_context io;
  EXPECT_EQ(
      CallGetAndPut(io, {kLoopback, FindFreePort()}),
      (call_failures{failure_kind::kUnavailable, failure_kind::kUnavailable}));
}

TEST(HttpStore, ReportsAWriteAsUnknownIfItMayHaveTakenEffect) {
  using enum failure_kind;
  const std::string huge(kMaxValueBytes + 1, 'x');
  const std::vector<std::pair<std::string, call_failures>> cases = {
      {"", {kUnavailable, kUnknown}},
      {"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{",
       {kUnavailable, kUnknown}},
      {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
       {kUnavailable, kUnknown}},
      {"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
       {kUnavailable, kUnavailable}},
      {"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", {kInvalid, kInvalid}},
      {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", {kNotFound, kNotFound}},
      {"HTTP/1.1 412 No\r\nContent-Length: 0\r\n\r\n", {kConflict, kConflict}},
      {"nonsense\r\n\r\n", {kInvalid, kUnknown}},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
       {kInvalid, kUnknown}},
      {OkResponse("{\"key\":\"a\",\"value\":1,\"version\":\"1\"}"),
       {kInvalid, kUnknown}},
      {OkResponse("{\"key\":\"a\",\"value\":\"1\",\"version\":-1}"),
       {kInvalid, kUnknown}},
      {OkResponse("[{\"version\":1}"), {kInvalid, kUnknown}},
      {OkResponse("{\"key\":\"a\",\"version\":\"1\",\"value\":\"" + huge +
                  "\"}"),
       {kInvalid, kUnknown}}};
  for (const auto& [response, expected] : cases) {
    asio::io_context io;
    const scripted_server server(io, response);
    EXPECT_EQ(CallGetAndPut(io, server.address()), expected)
        << response.substr(0, 80);
  }
}

// A body that is announced as huge, and has begun, must not be reserved: the
// process ended for want of memory.
TEST(HttpStore, RefusesAnAnnouncedLengthBeyondTheLimit) {
  for (const char* length : {"1000000000000", "18446744073709551615"}) {
    asio::io_context io;
    const scripted_server server(
        io, std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length +
                "\r\n\r\n{}");
    EXPECT_EQ(CallGetAndPut(io, server.address()),
              (call_failures{failure_kind::kInvalid, failure_kind::kUnknown}));
  }
}

TEST(HttpStore, TimesOutOnALateResponse) {
  asio::io_context io;
  platform_server server(io, 0);
  server.SetFault({.mode = fault_mode::kSlow, .delay = kTimeout * 3});
  EXPECT_EQ(
      CallGetAndPut(io, {kLoopback, server.port()}),
      (call_failures{failure_kind::kUnavailable, failure_kind::kUnknown}));
  EXPECT_TRUE(server.platform().Find("a", false)) << "the write took effect";
}

TEST(HttpStore, RejectsAValueLargerThanTheBound) {
  asio::io_context io;
  const auto store = MakeHttpStore(io, {kLoopback, FindFreePort()}, kTimeout);
  failure_kind result = failure_kind::kNone;
  store->Put("a", std::string(kMaxValueBytes + 1, ' '), 0,
             [&](auto, const failure& why) { result = why.kind; });
  io.run();
  EXPECT_EQ(result, failure_kind::kInvalid);
}

TEST(HttpStore, ReusesTwoConnectionsAndReplacesClosedOnes) {
  asio::io_context io;
  platform_server server(io, 0);
  const auto store = MakeHttpStore(io, {kLoopback, server.port()}, 2s);
  const auto list_vms = [&](int calls) {
    int succeeded = 0;
    for (int i = 0; i < calls; ++i)
      store->ListVms([&](auto value, auto&) { succeeded += value ? 1 : 0; });
    for (int done = 0; done < calls && io.run_one_for(5s) > 0;)
      done = succeeded;
    return succeeded;
  };
  EXPECT_EQ(list_vms(50), 50);
  EXPECT_EQ(server.connections_accepted(), 2U);
  server.CloseConnections();
  EXPECT_EQ(list_vms(5), 5);
  EXPECT_EQ(server.connections_accepted(), 4U);
}

/// A server that sends every response twice: the second copy at once, or late,
/// before the response to the next request on the same connection.
class repeating_server {
 public:
  repeating_server(asio::io_context& io, bool is_late)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
        is_late_(is_late) {
    Accept();
  }
  endpoint address() const {
    return {kLoopback, acceptor_.local_endpoint().port()};
  }

 private:
  struct connection {
    explicit connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}
    asio::ip::tcp::socket socket;
    std::string received;
    std::string late_copy;
  };

  void Accept() {
    acceptor_.async_accept([this](error_code error, auto socket) {
      if (error) return;
      Read(std::make_shared<connection>(std::move(socket)));
      Accept();
    });
  }

  void Read(const std::shared_ptr<connection>& c) {
    asio::async_read_until(c->socket, asio::dynamic_buffer(c->received),
                           "\r\n\r\n",
                           [this, c](error_code error, size_t size) {
                             if (error) return;
                             Respond(*c, c->received.substr(0, size));
                             c->received.erase(0, size);
                             Read(c);
                           });
  }

  void Respond(connection& c, const std::string& request) const {
    const size_t begin = std::string("GET /v1/objects/").size();
    const std::string key = request.substr(begin, 1);
    const std::string response = OkResponse(
        R"({"key":")" + key + R"(","value":"of )" + key + R"(","version":1})");
    const std::string bytes =
        c.late_copy + response + (is_late_ ? "" : response);
    if (is_late_) c.late_copy = response;
    asio::write(c.socket, asio::buffer(bytes));
  }

  asio::ip::tcp::acceptor acceptor_;
  bool is_late_;
};

// A second copy of a response must not pass for the response to the next
// request on the same connection.
TEST(HttpStore, ARepeatedResponseIsNotTakenForAnother) {
  for (const bool is_late : {false, true}) {
    asio::io_context io;
    const repeating_server server(io, is_late);
    const auto store = MakeHttpStore(io, server.address(), kTimeout);
    for (const char* key : {"a", "b", "c", "d"}) {
      bool is_done = false;
      store->Get(key, [&](const auto& value, const failure&) {
        is_done = true;
        EXPECT_TRUE(!value || value->value == std::string("of ") + key);
      });
      while (!is_done && io.run_one_for(5s) > 0) {
      }
    }
  }
}

/// A server that answers each request with an object, until Silence(): after
/// that, only on connections that were opened later.
class silenced_server {
 public:
  explicit silenced_server(asio::io_context& io)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }
  endpoint address() const {
    return {kLoopback, acceptor_.local_endpoint().port()};
  }
  void Silence() { first_answered_ = accepted_; }
  int accepted() const { return accepted_; }

 private:
  struct session {
    session(asio::ip::tcp::socket accepted, int n)
        : socket(std::move(accepted)), number(n) {}
    asio::ip::tcp::socket socket;
    int number;  ///< In the order of acceptance.
    std::string received;
    std::string response;
  };

  void Accept() {
    acceptor_.async_accept([this](error_code error, auto socket) {
      if (error) return;
      Receive(std::make_shared<session>(std::move(socket), accepted_++));
      Accept();
    });
  }

  void Receive(const std::shared_ptr<session>& s) {
    asio::async_read_until(s->socket, asio::dynamic_buffer(s->received),
                           "\r\n\r\n",
                           [this, s](error_code error, size_t size) {
                             if (error) return;
                             s->received.erase(0, size);
                             if (s->number >= first_answered_) Answer(s);
                             Receive(s);
                           });
  }

  static void Answer(const std::shared_ptr<session>& s) {
    s->response = OkResponse(R"({"key":"a","value":"1","version":1})");
    asio::async_write(s->socket, asio::buffer(s->response),
                      [s](error_code, size_t) {});
  }

  asio::ip::tcp::acceptor acceptor_;
  int accepted_ = 0;
  int first_answered_ = 0;
};

// Connections may go silent for good without a reset, all at once. Each of them
// would cost another timeout.
TEST(HttpStore, OneLostResponseEndsTheUseOfAllIdleConnections) {
  asio::io_context io;
  silenced_server server(io);
  const auto store = MakeHttpStore(io, server.address(), kTimeout);
  int answered = 0;
  int failed = 0;
  const auto count = [&](const auto& value, const failure&) {
    value ? ++answered : ++failed;
  };
  store->Get("a", count);
  store->Get("a", count);
  io.run_for(50ms);
  ASSERT_EQ(answered, 2);
  ASSERT_EQ(server.accepted(), 2);
  server.Silence();
  store->Get("a", count);
  io.run_for(kTimeout + 50ms);
  ASSERT_EQ(failed, 1);
  store->Get("a", count);
  io.run_for(50ms);
  EXPECT_EQ(answered, 3);
}

TEST(HttpStore, CallsNoHandlerAfterItsDestruction) {
  asio::io_context io;
  platform_server server(io, 0);
  auto store = MakeHttpStore(io, {kLoopback, server.port()}, 2s);
  const auto fail = [](auto, auto&) { FAIL() << "called"; };
  store->Watch("a", 0, 10s, fail);
  io.run_for(20ms);
  for (int i = 0; i < 4; ++i) store->Get("a", fail);
  store.reset();
  io.run_for(20ms);
}

}  // namespace
}  // namespace radishyard
