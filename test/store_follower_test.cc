// Tests that the objects of the store are followed although the store loses
// watches.
#include "control/store_follower.h"

#include <gtest/gtest.h>

#include "support/fake_store.h"

namespace radishyard {
namespace {

class store_following : public testing::Test {
 protected:
  void PutEdit() {
    failure why;
    ASSERT_TRUE(platform_.Put("services/survey-link", "edited", 0, why));
  }

  asio::io_context io_;
  fake_platform platform_;
  fake_store store_{io_, platform_};
  std::string delivered_;  ///< Value of the object delivered last.
  store_follower follower_{
      io_, store_,
      [this](const stored_object& object) { delivered_ = object.value; },
      [](bool) {}};
};

// A store that is silent for a second loses the watches that it receives then.
// Until they failed, an edit stayed unknown for half a minute.
TEST_F(store_following, DeliversAnEditInTimeAlthoughTheStoreHasLostTheWatch) {
  store_.SetFault({.mode = fault_mode::kLostWatch, .count = 1});
  follower_.Start();
  io_.run_for(100ms);
  ASSERT_EQ(store_.calls().watches, 1U);
  PutEdit();
  io_.run_for(kStoreChangeBound);
  EXPECT_EQ(delivered_, "edited");
}

// Without a loss, a change ends the watch; nothing else is read.
TEST_F(store_following, WaitsForChangesWithAWatchAtATime) {
  follower_.Start();
  io_.run_for(500ms);
  PutEdit();
  io_.run_for(100ms);
  EXPECT_EQ(delivered_, "edited");
  EXPECT_EQ(store_.calls().watches, 2U);
  EXPECT_EQ(store_.calls().lists, 1U);
}

}  // namespace
}  // namespace radishyard
