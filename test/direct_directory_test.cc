// Life of upstreams between readings of the registry.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct;  // NOLINT(google-build-using-namespace)
using change = directory_change::kind;

TEST(DirectDirectory, JoinsLeavesAndEnds) {
  direct_world world({Entry(1), Entry(2)});
  upstream_entry leaving = Entry(2);
  leaving.leaving = true;
  EXPECT_THAT(world.List({Entry(1), leaving}, AtMs(1000)),
              testing::ElementsAre(directory_change{change::kDraining, 2}));
  EXPECT_THAT(world.List({Entry(1)}, AtMs(2000)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
  for (uint32_t caller = 0; caller < 8; ++caller)
    EXPECT_EQ(world.Open(caller, AtMs(2100)).upstream, 1U);
}

TEST(DirectDirectory, PacketsOfAGoneUpstreamStillGoToIt) {
  direct_world world({Entry(1), Entry(2)});
  const uint32_t mark = ToFlowMark(2);
  world.List({Entry(1)}, AtMs(1000));
  EXPECT_EQ(world.Send(1, mark, 10, 5, 1, AtMs(2000)).upstream, 2U);
  // A flow lives for 60 s at most.
  world.List({Entry(1)}, AtMs(62'000));
  EXPECT_EQ(world.Send(1, mark, 15, 5, 1, AtMs(62'001)).reason,
            verdict_reason::kUnknownMark);
}

// Entries that lapse while the store is away are back about 2 s after it.
TEST(DirectDirectory, EntryMissingAfterAnOutageIsNotGoneAtOnce) {
  direct_world world({Entry(1), Entry(2)});
  EXPECT_THAT(world.List({Entry(1)}, AtMs(8000)),
              testing::ElementsAre(directory_change{change::kMissing, 2}));
  EXPECT_EQ(world.Known(2).phase, upstream_phase::kReady);
  EXPECT_TRUE(world.List({Entry(1)}, AtMs(9500)).empty());
  EXPECT_THAT(world.List({Entry(1)}, AtMs(11'000)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
}

TEST(DirectDirectory, EntryBackAfterAnOutageStaysInUse) {
  direct_world world({Entry(1), Entry(2)});
  world.List({Entry(1)}, AtMs(8000));
  EXPECT_TRUE(world.List({Entry(1), Entry(2)}, AtMs(9500)).empty());
  EXPECT_TRUE(world.List({Entry(1), Entry(2)}, AtMs(11'000)).empty());
  EXPECT_EQ(world.Known(2).phase, upstream_phase::kReady);
}

TEST(DirectDirectory, MissingWithoutAnOutageIsGone) {
  direct_world world({Entry(1), Entry(2)});
  EXPECT_THAT(world.List({Entry(1)}, AtMs(1500)),
              testing::ElementsAre(directory_change{change::kDeregistered, 2}));
}

TEST(DirectDirectory, SameIncarnationListedAgainKeepsWhatIsKnownOfIt) {
  direct_world world({Entry(1)});
  const verdict placed = world.Open(1, AtMs(10));
  world.Send(1, placed.mark, 10, 5, 1, AtMs(20));
  world.List({}, AtMs(1500));
  EXPECT_THAT(world.List({Entry(1)}, AtMs(3000)),
              testing::ElementsAre(directory_change{change::kReturned, 1}));
  EXPECT_EQ(world.Known(1).stats.flows, 1U);
}

TEST(DirectDirectory, RestartUnderTheSameIdStartsAnew) {
  direct_world world({Entry(1)});
  const verdict placed = world.Open(1, AtMs(10));
  world.Send(1, placed.mark, 10, 5, 1, AtMs(20));
  world.Send(1, placed.mark, 15, 0, 100, AtMs(60));
  ASSERT_EQ(world.Known(1).stats.responses, 1U);
  upstream_entry again = Entry(1);
  again.started_unix_ms = 9999;
  EXPECT_THAT(world.List({again}, AtMs(1000)),
              testing::ElementsAre(directory_change{change::kRestarted, 1}));
  EXPECT_EQ(world.Known(1).stats.responses, 0U);
}

TEST(DirectDirectory, OlderListChangesNothing) {
  direct_world world({Entry(1), Entry(2)});
  const upstream_list old{0, {Entry(1)}};
  EXPECT_TRUE(ApplyUpstreamList(world.state, old, AtMs(1), AtMs(1)).empty());
  EXPECT_EQ(world.state.directory.upstreams.size(), 2U);
}

// An address that another service takes over: the flow's packets carry the id
// of the upstream that they are meant for, never that of its successor.
TEST(DirectDirectory, ReusedAddressKeepsServicesApart) {
  direct_world world({Entry(1), Entry(3)});
  const uint32_t mark = ToFlowMark(1);
  upstream_entry successor = Entry(2, kHome, "drawing-archive");
  successor.address = Entry(1).address;
  world.List({successor, Entry(3)}, AtMs(1000));
  EXPECT_EQ(world.Send(1, mark, 10, 5, 1, AtMs(1100)).upstream, 1U);
  for (uint32_t caller = 2; caller < 10; ++caller)
    EXPECT_EQ(world.Open(caller, AtMs(1200)).upstream, 3U);
}

// Two ids whose marks collide, found by search over the seeded hash.
std::pair<upstream_id, upstream_id> CollidingIds() {
  std::map<uint32_t, upstream_id> seen;
  for (upstream_id id = 1;; ++id) {
    const auto [at, is_new] = seen.try_emplace(ToFlowMark(id), id);
    if (!is_new) return {at->second, id};
  }
}

TEST(DirectDirectory, OfTwoUpstreamsWithOneMarkTheOlderKeepsIt) {
  const auto [a, b] = CollidingIds();
  upstream_entry older = Entry(b);
  older.started_unix_ms = 1;
  upstream_entry younger = Entry(a);
  younger.started_unix_ms = 2;
  for (const auto& order :
       {std::vector{older, younger}, std::vector{younger, older}}) {
    direct_world world(order);
    for (uint32_t caller = 0; caller < 8; ++caller)
      EXPECT_EQ(world.Open(caller, AtMs(10)).upstream, b);
    EXPECT_EQ(world.Send(50, ToFlowMark(a), 10, 5, 1, AtMs(20)).upstream, b);
  }
}

}  // namespace
}  // namespace radishyard
