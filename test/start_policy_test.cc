// Tests who reads the platform at a start, and how confirmations of the table
// pass between balancers.
#include "direct/view/start_policy.h"

#include <gtest/gtest.h>

#include "direct/view/table_confirmation.h"

namespace radishyard {
namespace {

start_state MakeState() {
  return {.started_at = AtMs(1000), .has_seeds = true};
}

TEST(StartPolicy, ABalancerWithoutSeedsReadsAtOnce) {
  EXPECT_FALSE(AwaitsPeerView({.started_at = AtMs(1000)}, AtMs(1000)));
}

// After a loss of power of all VMs no other balancer has a view either.
TEST(StartPolicy, ABalancerThatNobodyAnswersReadsSoon) {
  EXPECT_TRUE(AwaitsPeerView(MakeState(), AtMs(1030)));
  EXPECT_FALSE(AwaitsPeerView(MakeState(), AtMs(1040)));
}

TEST(StartPolicy, AFetchInProgressIsAwaitedForABoundedTime) {
  start_state state = MakeState();
  state.is_fetching = true;
  EXPECT_TRUE(AwaitsPeerView(state, AtMs(1500)));
  EXPECT_FALSE(AwaitsPeerView(state, AtMs(1600)));
}

// Hundreds of VMs start for the first time, seconds before the callers come.
TEST(StartPolicy, AtTheFirstStartOnlyReadersReadAndTheOthersWait) {
  start_state state = MakeState();
  state.is_first_start = true;
  state.has_members = true;
  EXPECT_TRUE(AwaitsPeerView(state, AtMs(2900)));
  EXPECT_FALSE(AwaitsPeerView(state, AtMs(3000)));
  state.is_reader = true;
  EXPECT_FALSE(AwaitsPeerView(state, AtMs(1200)));
  state.is_reader = false;
  state.is_first_start = false;
  EXPECT_FALSE(AwaitsPeerView(state, AtMs(1200)));
}

view_report MakeReport(uint64_t version, bool watches, uint32_t age_ms) {
  return {.watches_table = watches,
          .table_version = version,
          .table_age_ms = age_ms};
}

TEST(TableConfirmation, IsPassedOnOnce) {
  table_confirmation hears_watcher;
  ApplyConfirmation(hears_watcher, MakeReport(7, true, 0), 7, AtMs(5000));
  EXPECT_EQ(hears_watcher.at, AtMs(5000));
  const uint32_t age = ConfirmationAgeMs(hears_watcher, {}, AtMs(5400));
  EXPECT_EQ(age, 400U);
  table_confirmation hears_other;
  ApplyConfirmation(hears_other, MakeReport(7, false, age), 7, AtMs(5410));
  EXPECT_EQ(hears_other.at, AtMs(5010));
  EXPECT_EQ(ConfirmationAgeMs(hears_other, {}, AtMs(5420)), kNotConfirmed);
}

TEST(TableConfirmation, DoesNotConfirmAnOlderVersion) {
  table_confirmation confirmation;
  ApplyConfirmation(confirmation, MakeReport(8, true, 0), 7, AtMs(5000));
  ApplyConfirmation(confirmation, MakeReport(8, false, 10), 7, AtMs(5000));
  EXPECT_EQ(confirmation.at, time_point{});
  EXPECT_EQ(confirmation.direct_at, time_point{});
}

TEST(TableConfirmation, AWatcherOfAnOlderTableConfirmsANewerOne) {
  table_confirmation confirmation;
  ApplyConfirmation(confirmation, MakeReport(6, true, 0), 7, AtMs(5000));
  EXPECT_EQ(confirmation.at, AtMs(5000));
}

// A balancer that has just started fetches the table from one that watches it.
// It need not read it again.
TEST(TableConfirmation, OfANewerVersionCountsOnceThatIsFetched) {
  table_confirmation confirmation;
  ApplyConfirmation(confirmation, MakeReport(6, true, 0), 0, AtMs(4000));
  ApplyConfirmation(confirmation, MakeReport(7, true, 0), 0, AtMs(5000));
  ApplyConfirmation(confirmation, MakeReport(6, true, 0), 0, AtMs(5100));
  EXPECT_EQ(confirmation.at, time_point{});
  ConfirmFetchedTable(confirmation, 6);
  EXPECT_EQ(confirmation.at, time_point{}) << "an older version was fetched";
  ConfirmFetchedTable(confirmation, 7);
  EXPECT_EQ(confirmation.at, AtMs(5000));
  EXPECT_EQ(ConfirmationAgeMs(confirmation, {}, AtMs(5300)), 300U);
}

TEST(TableConfirmation, ExpiresWithItsTimeout) {
  table_confirmation confirmation;
  ApplyConfirmation(confirmation, MakeReport(7, true, 0), 7, AtMs(5000));
  const time_point expired = AtMs(5001) + kMaxPassedOnAge;
  EXPECT_EQ(ConfirmationAgeMs(confirmation, {}, expired), kNotConfirmed);
  EXPECT_EQ(ConfirmationAgeMs(confirmation, expired, expired), 0U);
}

// A balancer whose watch waits says how long ago the store has answered it. The
// store may have lost the watch since.
TEST(TableConfirmation, CountsFromTheAnswerToTheWatcher) {
  table_confirmation confirmation;
  ApplyConfirmation(confirmation, MakeReport(7, true, 1800), 7, AtMs(15000));
  EXPECT_EQ(confirmation.at, AtMs(13200));
  EXPECT_EQ(ConfirmationAgeMs(confirmation, {}, AtMs(15100)), 1900U);
  ApplyConfirmation(confirmation, MakeReport(7, true, 2500), 7, AtMs(15200));
  EXPECT_EQ(confirmation.at, AtMs(13200))
      << "a later report of an earlier time";
}

// The monotonic clock begins when the VM boots.
TEST(TableConfirmation, NothingIsConfirmedBeforeTheFirstAnswer) {
  EXPECT_EQ(ConfirmationAgeMs({}, {}, AtMs(100)), kNotConfirmed);
  EXPECT_FALSE(IsTableConfirmed({}, 3s, AtMs(100)));
  EXPECT_TRUE(IsTableConfirmed({.at = AtMs(100)}, 3s, AtMs(3100)));
  EXPECT_FALSE(IsTableConfirmed({.at = AtMs(100)}, 3s, AtMs(3101)));
}

// The monotonic clock stands still while the VM is suspended.
TEST(TableConfirmation, IsOlderAfterASuspension) {
  table_confirmation confirmation{.at = AtMs(5000)};
  RecordSuspension(confirmation, 4s);
  EXPECT_FALSE(IsTableConfirmed(confirmation, 3s, AtMs(5001)));
  EXPECT_EQ(confirmation.direct_at, time_point{});
}

TEST(TableConfirmation, OfAnEarlierReleaseCountsFromItsArrival) {
  table_confirmation confirmation;
  ApplyConfirmation(confirmation, MakeReport(7, true, kNotConfirmed), 7,
                    AtMs(15000));
  EXPECT_EQ(confirmation.at, AtMs(15000));
}

}  // namespace
}  // namespace radishyard
