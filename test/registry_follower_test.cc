// Readings of the platform, their retries, and when they may be left to others.
#include "direct/registry_follower.h"

#include <gtest/gtest.h>

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;

/// A registry whose answers the test sets; a watch is answered at its end.
class scripted_registry : public registry {
 public:
  explicit scripted_registry(asio::io_context& io) : io_(io) {}

  void ListUpstreams(store_handler<upstream_list> handler) override {
    ++lists;
    if (is_silent) return;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (fault) return handler(std::nullopt, *fault);
      handler(upstream_list{.revision = 1}, {});
    });
  }
  void ReadTable(store_handler<table_update> handler) override {
    ++reads;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (fault) return handler(std::nullopt, *fault);
      handler(table_update{routing_table{.version = 1}, 1}, {});
    });
  }
  void WatchTable(uint64_t, duration wait,
                  store_handler<table_update> handler) override {
    ++watches;
    const auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait([this, timer, handler = std::move(handler)](error_code) {
      if (watch_fault) return handler(std::nullopt, *watch_fault);
      handler(table_update{std::nullopt, 1}, {});
    });
  }

  std::optional<failure> fault;
  std::optional<failure> watch_fault;
  bool is_silent = false;
  int lists = 0, reads = 0, watches = 0;

 private:
  asio::io_context& io_;
};

class registry_following : public testing::Test {
 protected:
  void Start(const follower_times& times) {
    follower_handlers handlers;
    handlers.on_list = [](const upstream_list&, time_point) {};
    handlers.on_table = [](const routing_table&) {};
    handlers.on_platform_state = [this](const std::string& name,
                                        const std::string& reason) {
      states_.push_back(name + (reason.empty() ? " regained" : " lost"));
    };
    handlers.needs_list = [this] { return needs_; };
    handlers.needs_table = [this] { return needs_; };
    follower_.emplace(io_, source_, times, handlers, 1);
    follower_->Start();
  }

  asio::io_context io_;
  scripted_registry source_{io_};
  std::optional<registry_follower> follower_;
  std::vector<std::string> states_;
  bool needs_ = true;
};

constexpr follower_times kFast{.list_interval = 50ms,
                               .watch_wait = 100ms,
                               .recheck_interval = 10ms,
                               .backoff = {20ms, 40ms}};

TEST_F(registry_following, ListsInIntervalsAndWatchesOnAndOn) {
  Start(kFast);
  io_.run_for(500ms);
  EXPECT_GE(source_.lists, 8);
  EXPECT_LE(source_.lists, 13);
  EXPECT_EQ(source_.reads, 1);
  EXPECT_GE(source_.watches, 4);
  EXPECT_TRUE(states_.empty());
}

TEST_F(registry_following, BacksOffWhileThePlatformIsAwayAndTellsOnce) {
  source_.fault = failure{failure_kind::kUnavailable, "away"};
  Start(kFast);
  io_.run_for(400ms);
  EXPECT_LE(source_.lists, 25);
  EXPECT_EQ(states_.size(), 2U);
  source_.fault.reset();
  io_.run_for(100ms);
  EXPECT_EQ(states_.size(), 4U);
}

TEST_F(registry_following, LostHistoryIsReadAnewAtOnceAndIsNoOutage) {
  Start(kFast);
  source_.watch_fault = failure{failure_kind::kNotFound, "410"};
  io_.run_for(150ms);
  EXPECT_EQ(source_.reads, 2);
  EXPECT_TRUE(states_.empty());
}

TEST_F(registry_following, ReadsNothingWhileOthersDo) {
  needs_ = false;
  Start(kFast);
  io_.run_for(300ms);
  EXPECT_EQ(source_.lists, 0);
  EXPECT_EQ(source_.watches, 0);
  needs_ = true;
  io_.run_for(100ms);
  EXPECT_GT(source_.lists, 0);
  EXPECT_GT(source_.watches, 0);
}

// A watch on a path that is gone looks like one without news.
TEST_F(registry_following, DoesNotPassForInformedOnceReadingsStayUnanswered) {
  Start({.list_interval = 50ms, .watch_wait = 10s});
  io_.run_for(200ms);
  EXPECT_TRUE(follower_->IsFollowingTable(clock::now()));
  source_.is_silent = true;
  io_.run_for(50ms + kReadTimeAllowance + 100ms);
  EXPECT_FALSE(follower_->IsFollowingTable(clock::now()));
}

}  // namespace
}  // namespace radishyard
