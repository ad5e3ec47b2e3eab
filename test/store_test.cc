// Tests the contract of object_store on both implementations: the fake and the
// HTTP client.
#include <gtest/gtest.h>

#include "store/http_store.h"
#include "support/fake_store.h"
#include "support/platform_server.h"

namespace radishyard {
namespace {

constexpr auto kTimeout = 300ms;
constexpr uint32_t kLoopback = 0x7F000001;

/// The arguments that a handler was called with.
template <typename T>
struct outcome {
  std::optional<T> value;
  failure_kind why = failure_kind::kNone;
};

enum class store_kind { kFake, kHttp };

class store_contract : public testing::TestWithParam<store_kind> {
 protected:
  store_contract() {
    if (GetParam() == store_kind::kHttp)
      http_ = MakeHttpStore(io_, {kLoopback, server_.port()}, kTimeout, "a");
  }

  object_store& store() { return http_ ? *http_ : fake(); }
  fake_store& fake() { return server_.Client("a"); }

  /// Passes a handler to `call` and runs the event loop until the handler has
  /// been called.
  template <typename T, typename Call>
  outcome<T> RunCall(Call call) {
    std::optional<outcome<T>> done;
    call([&done](std::optional<T> value, const failure& why) {
      EXPECT_FALSE(done) << "called twice";
      done = {std::move(value), why.kind};
    });
    EXPECT_FALSE(done) << "called from within the call";
    io_.restart();
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!done && std::chrono::steady_clock::now() < end) io_.run_one_for(5s);
    EXPECT_TRUE(done) << "not called";
    return done.value_or(outcome<T>{});
  }

  outcome<uint64_t> Put(const std::string& value, uint64_t expected_version) {
    return RunCall<uint64_t>([&](auto handler) {
      store().Put("services/a b", value, expected_version, handler);
    });
  }
  outcome<stored_object> Get() {
    return RunCall<stored_object>(
        [&](auto handler) { store().Get("services/a b", handler); });
  }
  outcome<object_batch> Watch(uint64_t revision, duration wait) {
    return RunCall<object_batch>([&](auto handler) {
      store().Watch("services/", revision, wait, handler);
    });
  }

  asio::io_context io_;
  platform_server server_{io_, 0};
  std::unique_ptr<object_store> http_;
};

TEST_P(store_contract, WritesOnlyIfTheVersionIsAsExpected) {
  EXPECT_EQ(Get().why, failure_kind::kNotFound);
  EXPECT_EQ(Put("{}", 0).value, 1U);
  EXPECT_EQ(Put("[1]", 0).why, failure_kind::kConflict);
  EXPECT_EQ(Put("[1]", 7).why, failure_kind::kConflict);
  EXPECT_EQ(Put("[\"\\u00e9 \u00e9\"]", 1).value, 2U);
  const stored_object expected{"services/a b", "[\"\\u00e9 \u00e9\"]", 2};
  EXPECT_EQ(Get().value, expected);
  const auto listed = RunCall<object_batch>(
      [&](auto handler) { store().List("services/", handler); });
  EXPECT_EQ(listed.value, (object_batch{{expected}, 2}));
  server_.platform().SetVms({{"vm-1", false}, {"vm-2", true}});
  const auto vms = RunCall<std::vector<vm_entry>>(
      [&](auto handler) { store().ListVms(handler); });
  EXPECT_EQ(vms.value, server_.platform().vms());
  EXPECT_EQ(fake().calls(), (call_counts{2, 1, 4, 0, 1}));
}

TEST_P(store_contract, ReportsUnknownWhenTheResponseToAWriteIsLost) {
  Put("1", 0);
  fake().SetFault({.mode = fault_mode::kLostResponse, .count = 1});
  EXPECT_EQ(Put("2", 1).why, failure_kind::kUnknown);
  EXPECT_EQ(Get().value, (stored_object{"services/a b", "2", 2}));
  EXPECT_EQ(Put("3", 2).value, 3U);
}

TEST_P(store_contract, StaleReadAndOldWatchReturnEarlierVersions) {
  Put("1", 0);
  Put("2", 1);
  fake().SetFault({.mode = fault_mode::kStaleRead, .count = 1});
  EXPECT_EQ(Get().value->version, 1U);
  EXPECT_EQ(Get().value->version, 2U);
  fake().SetFault({.mode = fault_mode::kStaleWatch, .count = 1});
  EXPECT_EQ(Watch(2, 50ms).value->objects[0].version, 1U);
  EXPECT_TRUE(Watch(2, 50ms).value->objects.empty());
}

TEST_P(store_contract, CarriesOutNoCallDuringAnOutage) {
  Put("1", 0);
  fake().SetFault({.mode = fault_mode::kOutage});
  EXPECT_EQ(Get().why, failure_kind::kUnavailable);
  EXPECT_EQ(Watch(1, 50ms).why, failure_kind::kUnavailable);
  // Over HTTP, the request may have been sent before the connection was closed.
  EXPECT_EQ(Put("2", 1).why, GetParam() == store_kind::kFake
                                 ? failure_kind::kUnavailable
                                 : failure_kind::kUnknown);
  fake().SetFault({});
  EXPECT_EQ(Get().value->version, 1U);
}

TEST_P(store_contract, WatchEndsWithAChangeOrAnOutage) {
  Put("1", 0);
  const auto run_later = [this](auto action) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, 50ms);
    timer->async_wait([timer, action](error_code) { action(); });
  };
  run_later([this] {
    failure why;
    server_.platform().Put("services/b", "3", 0, why);
  });
  // The wait is longer than the timeout of a call without a wait.
  const auto changed = Watch(1, kTimeout * 3);
  EXPECT_EQ(changed.value, (object_batch{{{"services/b", "3", 2}}, 2}));
  run_later([this] { fake().SetFault({.mode = fault_mode::kOutage}); });
  EXPECT_EQ(Watch(2, kTimeout * 3).why, failure_kind::kUnavailable);
  EXPECT_EQ(fake().calls().watches, 2U);
}

INSTANTIATE_TEST_SUITE_P(Stores, store_contract,
                         testing::Values(store_kind::kFake, store_kind::kHttp),
                         [](const auto& each) {
                           return each.param == store_kind::kFake ? "fake"
                                                                  : "http";
                         });

}  // namespace
}  // namespace radishyard
