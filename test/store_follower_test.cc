// Tests that the objects of the store are followed although the store loses
// watches.
#include "control/store_follower.h"

#include <gtest/gtest.h>

#include "support/fake_store.h"

namespace radishyard {
namespace {

// A store that is silent for a second loses the watches that it receives then.
// Until they failed, an edit stayed unknown for half a minute.
TEST(StoreFollower, DeliversAnEditInTimeAlthoughTheStoreHasLostTheWatch) {
  asio::io_context io;
  fake_platform platform;
  fake_store store(io, platform);
  std::string delivered;
  store_follower follower(
      io, store, [&](const stored_object& object) { delivered = object.value; },
      [](bool) {});
  store.SetFault({.mode = fault_mode::kLostWatch, .count = 1});
  follower.Start();
  io.run_for(100ms);
  ASSERT_EQ(store.calls().watches, 1U);
  failure why;
  ASSERT_TRUE(platform.Put("services/survey-link", "edited", 0, why));
  io.run_for(kStoreChangeBound);
  EXPECT_EQ(delivered, "edited");
}

// Without a loss, a change ends the watch; nothing else is read.
TEST(StoreFollower, WaitsForChangesWithAWatchAtATime) {
  asio::io_context io;
  fake_platform platform;
  fake_store store(io, platform);
  std::string delivered;
  store_follower follower(
      io, store, [&](const stored_object& object) { delivered = object.value; },
      [](bool) {});
  follower.Start();
  io.run_for(500ms);
  failure why;
  ASSERT_TRUE(platform.Put("services/survey-link", "edited", 0, why));
  io.run_for(100ms);
  EXPECT_EQ(delivered, "edited");
  EXPECT_EQ(store.calls().watches, 2U);
  EXPECT_EQ(store.calls().lists, 1U);
}

}  // namespace
}  // namespace radishyard
