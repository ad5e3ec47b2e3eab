// Tests how the directory follows successive upstream lists: drain,
// deregistration, outages of the registry, restarts and colliding marks.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)
using change = directory_change::kind;

TEST(DirectDirectory, ReportsLeavingAndDeregisteredUpstreams) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  upstream_entry leaving = MakeEntry(2);
  leaving.leaving = true;
  EXPECT_THAT(world.ApplyList({MakeEntry(1), leaving}, AtMs(1000)),
              testing::ElementsAre(directory_change{change::kLeaving, 2}));
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(2000)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
  for (uint32_t caller = 0; caller < 8; ++caller)
    EXPECT_EQ(world.SendOpening(caller, AtMs(2100)).upstream, 1U);
}

TEST(DirectDirectory, ForwardsToADeregisteredUpstreamUntilItsFlowsHaveEnded) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  const uint32_t mark = ToFlowMark(2);
  world.ApplyList({MakeEntry(1)}, AtMs(1000));
  EXPECT_EQ(world.SendPacket(1, mark, 10, 5, 1, AtMs(2000)).upstream, 2U);
  // A flow lives for 60 s at most.
  world.ApplyList({MakeEntry(1)}, AtMs(62'000));
  EXPECT_EQ(world.SendPacket(1, mark, 15, 5, 1, AtMs(62'001)).reason,
            verdict_reason::kUnknownMark);
}

// Entries that expire during an outage of the store are registered again about
// 2 s after its end.
TEST(DirectDirectory, KeepsAMissingUpstreamForAWhileAfterAnOutage) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(8000)),
              testing::ElementsAre(directory_change{change::kMissing, 2}));
  EXPECT_EQ(world.Upstream(2).phase, upstream_phase::kReady);
  EXPECT_TRUE(world.ApplyList({MakeEntry(1)}, AtMs(9500)).empty());
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(11'000)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
}

TEST(DirectDirectory, KeepsAnUpstreamThatReturnsAfterAnOutage) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  world.ApplyList({MakeEntry(1)}, AtMs(8000));
  EXPECT_TRUE(
      world.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(9500)).empty());
  EXPECT_TRUE(
      world.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(11'000)).empty());
  EXPECT_EQ(world.Upstream(2).phase, upstream_phase::kReady);
}

TEST(DirectDirectory, DeregistersAMissingUpstreamAtOnceWithoutAnOutage) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(1500)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
}

// Readers that read the list every 2.5 s observe a gap of less than 3 s if the
// store is away for a short time only.
TEST(DirectDirectory, TakesAGapBeyondTheListIntervalForAnOutage) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  world.state.directory.max_list_gap = 2800ms;
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(2900)),
              testing::ElementsAre(directory_change{change::kMissing, 2}));
  EXPECT_TRUE(
      world.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(4500)).empty());
}

// DRAIN: a balancer that had stood still took its own gap for an outage of the
// registry, and all others kept a removed upstream by its report.
TEST(DirectDirectory, APauseOfThisProcessIsNoOutage) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  RecordPause(world.state.directory, 4s, AtMs(5500));
  EXPECT_EQ(TimeSinceOutage(world.state.directory, AtMs(5600)), std::nullopt);
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(5700)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
  EXPECT_EQ(TimeSinceOutage(world.state.directory, AtMs(5800)), std::nullopt);
}

TEST(DirectDirectory, AGapThatAPauseDoesNotExplainIsAnOutage) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  RecordPause(world.state.directory, 1s, AtMs(2000));
  EXPECT_EQ(TimeSinceOutage(world.state.directory, AtMs(4100)), 0s);
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(4100)),
              testing::ElementsAre(directory_change{change::kMissing, 2}));
}

// DRAIN: a balancer for which others read receives no further list, and kept a
// missing upstream for good.
TEST(DirectDirectory, AMissingUpstreamIsGoneOnceItsListIsConfirmedLater) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  upstream_directory& directory = world.state.directory;
  world.ApplyList({MakeEntry(1)}, AtMs(8000));
  ConfirmList(directory, directory.revision, AtMs(10'400));
  EXPECT_TRUE(DeregisterMissing(directory, AtMs(12'000)).empty())
      << "its entry may have come back since";
  ConfirmList(directory, directory.revision, AtMs(10'500));
  EXPECT_THAT(DeregisterMissing(directory, AtMs(12'000)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
  EXPECT_TRUE(DeregisterMissing(directory, AtMs(12'100)).empty());
  for (uint32_t caller = 0; caller < 8; ++caller)
    EXPECT_EQ(world.SendOpening(caller, AtMs(12'200)).upstream, 1U);
}

TEST(DirectDirectory, AnOrdinaryListIntervalIsNoOutage) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  world.state.directory.max_list_gap = 3300ms;
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(3200)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
}

TEST(DirectDirectory, KeepsTheStatisticsOfAReturningIncarnation) {
  direct_world world({MakeEntry(1)});
  const verdict placed = world.SendOpening(1, AtMs(10));
  world.SendPacket(1, placed.mark, 10, 5, 1, AtMs(20));
  world.ApplyList({}, AtMs(1500));
  EXPECT_THAT(world.ApplyList({MakeEntry(1)}, AtMs(3000)),
              testing::ElementsAre(directory_change{change::kReturned, 1}));
  EXPECT_EQ(world.Upstream(1).stats.flows, 1U);
}

TEST(DirectDirectory, ResetsTheStatisticsOfARestartedUpstream) {
  direct_world world({MakeEntry(1)});
  const verdict placed = world.SendOpening(1, AtMs(10));
  world.SendPacket(1, placed.mark, 10, 5, 1, AtMs(20));
  world.SendPacket(1, placed.mark, 15, 0, 100, AtMs(60));
  ASSERT_EQ(world.Upstream(1).stats.responses, 1U);
  upstream_entry restarted = MakeEntry(1);
  restarted.started_unix_ms = 9999;
  EXPECT_THAT(world.ApplyList({restarted}, AtMs(1000)),
              testing::ElementsAre(directory_change{change::kRestarted, 1}));
  EXPECT_EQ(world.Upstream(1).stats.responses, 0U);
}

TEST(DirectDirectory, DropsAnOlderList) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  const upstream_list old{{0, 0}, {MakeEntry(1)}};
  EXPECT_TRUE(ApplyUpstreamList(world.state, old, AtMs(1), AtMs(1)).empty());
  EXPECT_EQ(world.state.directory.upstreams.size(), 2U);
}

/// The directory of a balancer that has read a list of epoch 1 with two
/// upstreams, each with the sequence number 5. Lists are applied as of epoch 2
/// after Return().
class returning_store : public testing::Test {
 protected:
  static upstream_entry Entry(upstream_id id, int64_t sequence,
                              bool leaving = false) {
    upstream_entry entry = MakeEntry(id);
    entry.sequence = sequence;
    entry.leaving = leaving;
    return entry;
  }
  void SetUp() override {
    world_.epoch = 1;
    world_.revision = 100;
    world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(0));
  }
  /// The copy is from before revision 100.
  void Return() {
    world_.epoch = 2;
    world_.revision = 50;
  }
  upstream_phase Phase(upstream_id id) const {
    return world_.Upstream(id).phase;
  }

  direct_world world_{{}};
};

// DRAIN: the copy of an entry from before its drain was taken for a return.
TEST_F(returning_store, ALeavingUpstreamIsNotReadyByTheWordOfTheCopy) {
  world_.ApplyList({Entry(1, 5), Entry(2, 6, true)}, AtMs(1000));
  Return();
  world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(2000));
  EXPECT_EQ(Phase(2), upstream_phase::kLeaving);
  world_.ApplyList({Entry(1, 5), Entry(2, 7)}, AtMs(3000));
  EXPECT_EQ(Phase(2), upstream_phase::kReady) << "by its own later entry";
}

// DRAIN: the copy of an entry that had been removed brought its upstream back.
TEST_F(returning_store, ARemovedUpstreamIsNotReadyByTheWordOfTheCopy) {
  world_.ApplyList({Entry(1, 5)}, AtMs(1000));
  Return();
  world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(2000));
  EXPECT_EQ(Phase(2), upstream_phase::kDeregistered);
  upstream_entry restarted = Entry(2, 1);
  restarted.started_unix_ms += 1;
  world_.ApplyList({Entry(1, 5), restarted}, AtMs(3000));
  EXPECT_EQ(Phase(2), upstream_phase::kReady) << "it has started again";
}

TEST_F(returning_store, TheCopyDoesNotRestoreAnEarlierIncarnation) {
  upstream_entry restarted = Entry(2, 1);
  restarted.started_unix_ms += 1;
  world_.ApplyList({Entry(1, 5), restarted}, AtMs(1000));
  Return();
  world_.ApplyList({Entry(1, 5), Entry(2, 9)}, AtMs(2000));
  EXPECT_EQ(world_.Upstream(2).entry, restarted);
}

// An entry that stays although it is older has been confirmed by its upstream:
// the store removes those of upstreams that do not write.
TEST_F(returning_store, TheCopysWordCountsOnceItHasLasted) {
  world_.ApplyList({Entry(1, 5), Entry(2, 6, true)}, AtMs(1000));
  Return();
  for (int ms = 2000; ms <= 11'000; ms += 1000)
    world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(ms));
  EXPECT_EQ(Phase(2), upstream_phase::kLeaving);
  world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(12'000));
  EXPECT_EQ(Phase(2), upstream_phase::kReady);
}

// An upstream that registered in the lost seconds writes its entry again.
TEST_F(returning_store, AnUpstreamThatTheCopyLacksStaysInUseForAWhile) {
  world_.ApplyList({Entry(1, 5), Entry(2, 5), Entry(3, 1)}, AtMs(1000));
  Return();
  EXPECT_THAT(world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(2000)),
              testing::ElementsAre(directory_change{change::kMissing, 3}));
  EXPECT_EQ(Phase(3), upstream_phase::kReady);
  EXPECT_THAT(world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(4600)),
              testing::ElementsAre(directory_change{change::kDeregistered, 3}));
}

TEST_F(returning_store, TwoReturnsInARowEndTheSame) {
  world_.ApplyList({Entry(1, 5), Entry(2, 6, true)}, AtMs(1000));
  Return();
  world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(2000));
  world_.epoch = 3;
  world_.revision = 10;
  world_.ApplyList({Entry(1, 5), Entry(2, 4)}, AtMs(3000));
  EXPECT_EQ(Phase(2), upstream_phase::kLeaving);
  world_.ApplyList({Entry(1, 5), Entry(2, 7, true)}, AtMs(4000));
  world_.ApplyList({Entry(1, 5)}, AtMs(6000));
  EXPECT_EQ(Phase(2), upstream_phase::kDeregistered);
}

// A stale read within an epoch is left to the revisions, and a store without
// epochs is treated as ever.
TEST_F(returning_store, WithinAnEpochEveryLaterListCounts) {
  world_.ApplyList({Entry(1, 5), Entry(2, 6, true)}, AtMs(1000));
  world_.ApplyList({Entry(1, 5), Entry(2, 5)}, AtMs(2000));
  EXPECT_EQ(Phase(2), upstream_phase::kReady);
}

// When an upstream of another service reuses an address, packets of an old flow
// still carry the id of the old upstream, so the new one does not accept them.
TEST(DirectDirectory, ForwardsByIdWhenAnotherServiceReusesTheAddress) {
  direct_world world({MakeEntry(1), MakeEntry(3)});
  const uint32_t mark = ToFlowMark(1);
  upstream_entry successor = MakeEntry(2, kLocalDomain, "drawing-archive");
  successor.address = MakeEntry(1).address;
  world.ApplyList({successor, MakeEntry(3)}, AtMs(1000));
  EXPECT_EQ(world.SendPacket(1, mark, 10, 5, 1, AtMs(1100)).upstream, 1U);
  for (uint32_t caller = 2; caller < 10; ++caller)
    EXPECT_EQ(world.SendOpening(caller, AtMs(1200)).upstream, 3U);
}

// Returns two ids with the same mark, found by trying ids in order.
std::pair<upstream_id, upstream_id> CollidingIds() {
  std::map<uint32_t, upstream_id> seen;
  for (upstream_id id = 1;; ++id) {
    const auto [at, is_new] = seen.try_emplace(ToFlowMark(id), id);
    if (!is_new) return {at->second, id};
  }
}

TEST(DirectDirectory, GivesACollidingMarkToTheOlderUpstream) {
  const auto [a, b] = CollidingIds();
  upstream_entry older = MakeEntry(b);
  older.started_unix_ms = 1;
  upstream_entry younger = MakeEntry(a);
  younger.started_unix_ms = 2;
  for (const auto& order :
       {std::vector{older, younger}, std::vector{younger, older}}) {
    direct_world world(order);
    for (uint32_t caller = 0; caller < 8; ++caller)
      EXPECT_EQ(world.SendOpening(caller, AtMs(10)).upstream, b);
    EXPECT_EQ(world.SendPacket(50, ToFlowMark(a), 10, 5, 1, AtMs(20)).upstream,
              b);
  }
}

}  // namespace
}  // namespace radishyard
