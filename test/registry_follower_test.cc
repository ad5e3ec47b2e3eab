// Tests the reads of the platform, their retries after failures, and that they
// stop while other balancers read.
#include "direct/view/registry_follower.h"

#include <gtest/gtest.h>

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;

/// A registry whose results the test sets. A watch returns only at the end of
/// its waiting time, or fails later if it is lost.
class scripted_registry : public registry {
 public:
  explicit scripted_registry(asio::io_context& io) : io_(io) {}

  void ListUpstreams(store_handler<upstream_list> handler) override {
    ++list_reads;
    if (ignores_list_reads) return;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (read_failure) return handler(std::nullopt, *read_failure);
      handler(upstream_list{.revision = {0, 1}}, {});
    });
  }
  void ReadUpstreamChanges(const store_revision& revision,
                           store_handler<upstream_changes> handler) override {
    ++change_reads;
    last_base_revision = revision.number;
    if (ignores_list_reads) return;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (read_failure) return handler(std::nullopt, *read_failure);
      if (change_failure) return handler(std::nullopt, *change_failure);
      handler(changes, {});
    });
  }
  void ReadTable(store_handler<table_update> handler) override {
    ++table_reads;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (read_failure) return handler(std::nullopt, *read_failure);
      handler(table_update{routing_table{.version = 1}, {0, 1}}, {});
    });
  }
  void WatchTable(const store_revision& revision, duration wait,
                  store_handler<table_update> handler) override {
    ++table_watches;
    last_watched_revision = revision.number;
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, loses_watches ? wait + kRegistryTimeout : wait);
    timer->async_wait([this, timer, handler = std::move(handler)](error_code) {
      if (loses_watches)
        return handler(std::nullopt, failure{failure_kind::kUnavailable, ""});
      if (watch_failure) return handler(std::nullopt, *watch_failure);
      handler(table_update{std::nullopt, {0, watch_revision}}, {});
    });
  }

  void ListEvacuations(store_handler<evacuation_list>) override {}

  std::optional<failure> read_failure;
  std::optional<failure> watch_failure;
  std::optional<failure> change_failure;
  upstream_changes changes{.revision = {0, 1}};
  uint64_t last_base_revision = 0;
  uint64_t last_watched_revision = 0;
  uint64_t watch_revision = 0;  ///< Returned by watches.
  bool ignores_list_reads = false;
  bool loses_watches = false;
  int change_reads = 0, list_reads = 0, table_reads = 0, table_watches = 0;

 private:
  asio::io_context& io_;
};

class registry_following : public testing::Test {
 protected:
  void Start(const follower_times& times) {
    follower_handlers handlers;
    handlers.on_list = [this](const upstream_list& list, time_point) {
      last_list_ = list;
    };
    handlers.on_table = [](const routing_table&) {};
    handlers.on_platform_state = [this](const std::string& name,
                                        const std::string& reason) {
      state_changes_.push_back(name + (reason.empty() ? " regained" : " lost"));
    };
    handlers.needs_list = [this] { return must_read_; };
    handlers.needs_table = [this] { return must_read_; };
    follower_.emplace(io_, source_, times, handlers, 1);
    follower_->Start();
  }

  /// Runs until the whole list has been read `count` times.
  void RunUntilListReads(int count) {
    const auto deadline = clock::now() + 10s;
    while (source_.list_reads < count && clock::now() < deadline)
      io_.run_one_for(10ms);
  }

  asio::io_context io_;
  scripted_registry source_{io_};
  std::optional<registry_follower> follower_;
  std::vector<std::string> state_changes_;
  upstream_list last_list_;
  bool must_read_ = true;
};

/// Longer than the stalls of a busy machine, so that no second interval begins
/// in a test of one.
constexpr follower_times kOneInterval{.list_interval = 1s,
                                      .watch_wait = 10s,
                                      .recheck_interval = 10ms,
                                      .backoff = {20ms, 40ms}};
constexpr follower_times kShortIntervals{.list_interval = 50ms,
                                         .watch_wait = 100ms,
                                         .recheck_interval = 10ms,
                                         .backoff = {20ms, 40ms}};

TEST_F(registry_following, ReadsTheListAtIntervalsAndWatchesTheTable) {
  Start(kShortIntervals);
  io_.run_for(500ms);
  // After the first read, changes are read instead of the whole list.
  const int reads = source_.list_reads + source_.change_reads;
  EXPECT_GE(reads, 8);
  EXPECT_LE(reads, 13);
  EXPECT_EQ(source_.list_reads, 1);
  EXPECT_EQ(source_.table_reads, 1);
  EXPECT_GE(source_.table_watches, 4);
  EXPECT_TRUE(state_changes_.empty());
}

TEST_F(registry_following, BacksOffAndReportsAnOutageOnce) {
  source_.read_failure = failure{failure_kind::kUnavailable, "unreachable"};
  Start(kShortIntervals);
  io_.run_for(400ms);
  EXPECT_LE(source_.list_reads + source_.change_reads, 25);
  EXPECT_EQ(state_changes_.size(), 2U);
  source_.read_failure.reset();
  io_.run_for(100ms);
  EXPECT_EQ(state_changes_.size(), 4U);
}

upstream_entry MakeUpstream(upstream_id id) {
  return {.id = id, .service = "s", .address = {1, 1}, .domain = "d"};
}

// A list of hundreds of upstreams takes a dozen calls, its changes take one.
TEST_F(registry_following, ReadsChangesAfterTheWholeList) {
  source_.changes = {.delta = {{MakeUpstream(5), MakeUpstream(6)}, {}},
                     .revision = {0, 9},
                     .last_change = 8};
  Start(kShortIntervals);
  io_.run_for(80ms);
  EXPECT_EQ(source_.list_reads, 1);
  EXPECT_EQ(last_list_.revision, (store_revision{0, 9}));
  EXPECT_EQ(last_list_.upstreams.size(), 2U);
  source_.changes = {.delta = {{}, {5}}, .revision = {0, 11}};
  io_.run_for(60ms);
  EXPECT_EQ(source_.last_base_revision, 8U);
  EXPECT_EQ(last_list_.revision, (store_revision{0, 11}));
  EXPECT_EQ(last_list_.upstreams,
            (std::vector<upstream_entry>{MakeUpstream(6)}));
}

// A store may deliver no events for a second while changes are made, and then
// drop its history. Read from the revision that it returned meanwhile, the
// changes would be missed for good.
TEST_F(registry_following, ReadsChangesFromTheLastOneDelivered) {
  source_.changes = {.revision = {0, 40}};
  Start(kShortIntervals);
  io_.run_for(120ms);
  EXPECT_GT(source_.change_reads, 1);
  EXPECT_EQ(last_list_.revision, (store_revision{0, 40}));
  EXPECT_EQ(source_.last_base_revision, 1U);
}

TEST_F(registry_following, ReadsTheWholeListAgainAfterLostHistory) {
  Start(kOneInterval);
  RunUntilListReads(1);
  source_.change_failure = failure{failure_kind::kNotFound, "410"};
  RunUntilListReads(2);
  io_.run_for(60ms);
  EXPECT_EQ(source_.list_reads, 2);
  EXPECT_EQ(source_.change_reads, 1);
  EXPECT_TRUE(state_changes_.empty());
}

TEST_F(registry_following, ReadsTheWholeListAgainIfTheStoreHasGoneBack) {
  Start(kOneInterval);
  RunUntilListReads(1);
  source_.changes = {.revision = {0, 0}};
  RunUntilListReads(2);
  io_.run_for(60ms);
  EXPECT_EQ(source_.list_reads, 2);
  EXPECT_EQ(source_.change_reads, 1);
}

TEST_F(registry_following, ReadsTheWholeListFromTimeToTime) {
  Start({.list_interval = 5ms, .watch_wait = 10s});
  io_.run_for(400ms);
  EXPECT_GE(source_.list_reads, 2);
  EXPECT_GE(source_.change_reads,
            (source_.list_reads - 1) * static_cast<int>(kMaxChangeReads));
}

TEST_F(registry_following, AFailedReadOfChangesIsAnOutage) {
  Start(kShortIntervals);
  io_.run_for(20ms);
  source_.change_failure = failure{failure_kind::kUnavailable, "503"};
  io_.run_for(100ms);
  EXPECT_EQ(state_changes_, (std::vector<std::string>{"upstreams lost"}));
  EXPECT_EQ(source_.list_reads, 1);
}

TEST_F(registry_following, WatchesTheTableFromTheLastChangeDelivered) {
  Start(kShortIntervals);
  io_.run_for(150ms);
  EXPECT_GT(source_.table_watches, 1);
  EXPECT_EQ(source_.last_watched_revision, 1U);
  source_.watch_revision = 5;
  io_.run_for(250ms);
  EXPECT_EQ(source_.last_watched_revision, 5U);
}

TEST_F(registry_following, ReadsTheTableAgainAtOnceAfterLostHistory) {
  Start(kShortIntervals);
  source_.watch_failure = failure{failure_kind::kNotFound, "410"};
  io_.run_for(150ms);
  EXPECT_EQ(source_.table_reads, 2);
  EXPECT_TRUE(state_changes_.empty());
}

TEST_F(registry_following, ReadsNothingWhileOtherBalancersRead) {
  must_read_ = false;
  Start(kShortIntervals);
  io_.run_for(300ms);
  EXPECT_EQ(source_.list_reads + source_.change_reads, 0);
  EXPECT_EQ(source_.table_watches, 0);
  must_read_ = true;
  io_.run_for(100ms);
  EXPECT_GT(source_.list_reads, 0);
  EXPECT_GT(source_.table_watches, 0);
}

// If the platform becomes unreachable, a watch looks like one without changes.
TEST_F(registry_following, DoesNotFollowTheTableOnceReadsStayUnanswered) {
  Start({.list_interval = 50ms, .watch_wait = 10s});
  io_.run_for(200ms);
  EXPECT_TRUE(follower_->IsFollowingTable(clock::now()));
  source_.ignores_list_reads = true;
  io_.run_for(50ms + kReadTimeAllowance + 100ms);
  EXPECT_FALSE(follower_->IsFollowingTable(clock::now()));
}

// A store that has lost a watch goes on to answer the reads of the list. Others
// that rely on this balancer must not take the waiting watch for a
// confirmation.
TEST_F(registry_following, AWatchWithoutAnAnswerConfirmsNothing) {
  source_.loses_watches = true;
  Start({.list_interval = 50ms, .watch_wait = 100ms});
  io_.run_for(50ms);
  const time_point confirmed_at = follower_->table_read_at();
  EXPECT_TRUE(follower_->IsFollowingTable(clock::now()));
  io_.run_for(100ms + 2 * kReadTimeAllowance + 100ms);
  EXPECT_FALSE(follower_->IsFollowingTable(clock::now()));
  EXPECT_EQ(follower_->table_read_at(), confirmed_at);
}

// The bounds of the users' deployments, and one that is longer.
TEST(FollowerTimes, AChangeIsKnownInTimeAlthoughAnAnswerIsLost) {
  for (const duration bound : {2000ms, 3000ms, 5000ms, 6000ms, 60000ms}) {
    const follower_times times = MakeFollowerTimes(bound, bound);
    for (const duration interval : {times.list_interval, times.watch_wait}) {
      EXPECT_LE(interval + kRegistryTimeout + times.backoff.first +
                    kReadTimeAllowance,
                bound);
      EXPECT_LE(2 * interval, bound);
    }
  }
}

// A read that has failed before is repeated after the longest delay. If the
// store loses it too, no watch was waiting.
TEST(FollowerTimes, ALostRepetitionTakesNoLongerThanALostWatch) {
  const follower_times times = MakeFollowerTimes(3s, 3s);
  EXPECT_LE(times.backoff.longest, times.watch_wait + times.backoff.first);
}

TEST(FollowerTimes, AWatchWaitsForNoLongerThanTheStoreAllows) {
  EXPECT_LE(MakeFollowerTimes(3s, 600s).watch_wait, 30s);
}

}  // namespace
}  // namespace radishyard
