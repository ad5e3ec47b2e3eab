// What the HTTP client makes of a platform that refuses, breaks off, is slow
// or talks nonsense.
#include "store/http_store.h"

#include <gtest/gtest.h>

#include "support/loopback.h"
#include "support/platform_server.h"

namespace radishyard {
namespace {

constexpr uint32_t kLoopback = 0x7F000001;
constexpr auto kTimeout = 200ms;

/// A server that gives one scripted text to each request, then closes.
class scripted_server {
 public:
  scripted_server(asio::io_context& io, std::string answer)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
        answer_(std::move(answer)) {
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
                               asio::async_write(*peer, asio::buffer(answer_),
                                                 [peer](error_code, size_t) {});
                             });
      Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
};

struct failures {
  failure_kind get = failure_kind::kNone;
  failure_kind put = failure_kind::kNone;
  auto operator<=>(const failures&) const = default;
};

/// How a read and a write fail at `platform`.
failures CallBoth(asio::io_context& io, const endpoint& platform) {
  const auto store = MakeHttpStore(io, platform, kTimeout);
  failures seen;
  int pending = 2;
  store->Get("a", [&](auto value, const failure& why) {
    EXPECT_FALSE(value);
    seen.get = why.kind;
    --pending;
  });
  store->Put("a", "1", 0, [&](auto value, const failure& why) {
    EXPECT_FALSE(value);
    seen.put = why.kind;
    --pending;
  });
  while (pending > 0 && io.run_one_for(5s) > 0) {
  }
  EXPECT_EQ(pending, 0);
  return seen;
}

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST(HttpStore, RefusedConnectionIsUnavailable) {
  asio::io_context io;
  EXPECT_EQ(CallBoth(io, {kLoopback, FreePort()}),
            (failures{failure_kind::kUnavailable, failure_kind::kUnavailable}));
}

TEST(HttpStore, BadAnswersFailByWhatMayHaveHappened) {
  using enum failure_kind;
  const std::string huge(kMaxValueBytes + 1, 'x');
  const std::vector<std::pair<std::string, failures>> cases = {
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
      {Ok("{\"key\":\"a\",\"value\":1,\"version\":\"1\"}"),
       {kInvalid, kUnknown}},
      {Ok("{\"key\":\"a\",\"value\":\"1\",\"version\":-1}"),
       {kInvalid, kUnknown}},
      {Ok("[{\"version\":1}"), {kInvalid, kUnknown}},
      {Ok("{\"key\":\"a\",\"version\":\"1\",\"value\":\"" + huge + "\"}"),
       {kInvalid, kUnknown}}};
  for (const auto& [answer, expected] : cases) {
    asio::io_context io;
    const scripted_server server(io, answer);
    EXPECT_EQ(CallBoth(io, server.address()), expected) << answer.substr(0, 80);
  }
}

TEST(HttpStore, LateAnswerTimesOutAndAWriteIsUnknown) {
  asio::io_context io;
  platform_server server(io, 0);
  server.SetFault({.mode = fault_mode::kSlow, .delay = kTimeout * 3});
  EXPECT_EQ(CallBoth(io, {kLoopback, server.port()}),
            (failures{failure_kind::kUnavailable, failure_kind::kUnknown}));
  EXPECT_TRUE(server.platform().Find("a", false)) << "the write took effect";
}

TEST(HttpStore, RefusesAValueLargerThanTheBound) {
  asio::io_context io;
  const auto store = MakeHttpStore(io, {kLoopback, FreePort()}, kTimeout);
  failure_kind seen = failure_kind::kNone;
  store->Put("a", std::string(kMaxValueBytes + 1, ' '), 0,
             [&](auto, const failure& why) { seen = why.kind; });
  io.run();
  EXPECT_EQ(seen, failure_kind::kInvalid);
}

TEST(HttpStore, ReusesTwoConnectionsAndOutlivesTheirLoss) {
  asio::io_context io;
  platform_server server(io, 0);
  const auto store = MakeHttpStore(io, {kLoopback, server.port()}, 2s);
  const auto run = [&](int calls) {
    int answered = 0;
    for (int i = 0; i < calls; ++i)
      store->ListVms([&](auto value, auto&) { answered += value ? 1 : 0; });
    for (int done = 0; done < calls && io.run_one_for(5s) > 0;) done = answered;
    return answered;
  };
  EXPECT_EQ(run(50), 50);
  EXPECT_EQ(server.connections_accepted(), 2U);
  server.CloseConnections();
  EXPECT_EQ(run(5), 5);
  EXPECT_EQ(server.connections_accepted(), 4U);
}

TEST(HttpStore, DestroyedStoreCallsNoHandler) {
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
