// Tests the share of a link that snapshots take up, and the choice of another
// source while one is busy.
#include "direct/view/snapshot_pacing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "direct/view/view_sources.h"

namespace radishyard {
namespace {

constexpr uint32_t kNarrowLinkMbps = 10;
constexpr size_t kTableBytes = 55'000;

TEST(SnapshotPacing, KeepsToItsShareOfTheLink) {
  snapshot_pacing pacing{.bytes_per_second = ToSnapshotRate(kNarrowLinkMbps)};
  EXPECT_EQ(pacing.bytes_per_second, 312'500U);
  // 25 members ask again and again, as after an edit of the table.
  constexpr int64_t kMembers = 25;
  constexpr int64_t kSeconds = 2;
  size_t sent_bytes = 0;
  for (int64_t ms = 0; ms < 1000 * kSeconds; ++ms)
    for (int64_t member = 0; member < kMembers; ++member)
      if (ReserveTurn(pacing, kTableBytes, AtMs(ms))) sent_bytes += kTableBytes;
  const uint64_t waiting_bytes =
      pacing.bytes_per_second * ToMs(kMaxSnapshotWait) / 1000;
  EXPECT_LE(sent_bytes, kSeconds * pacing.bytes_per_second + waiting_bytes +
                            2 * kTableBytes);
}

TEST(SnapshotPacing, MakesRequestsWaitForTheirTurnButNotForLong) {
  snapshot_pacing pacing{.bytes_per_second = 100'000};
  EXPECT_EQ(ReserveTurn(pacing, 20'000, AtMs(0)), duration(0ms));
  EXPECT_EQ(ReserveTurn(pacing, 20'000, AtMs(0)), duration(200ms));
  EXPECT_EQ(ReserveTurn(pacing, 20'000, AtMs(0)), std::nullopt);
  EXPECT_EQ(ReserveTurn(pacing, 20'000, AtMs(150)), duration(250ms));
  EXPECT_EQ(ReserveTurn(pacing, 20'000, AtMs(5000)), duration(0ms));
}

TEST(SnapshotPacing, DoesNotDelaySmallSnapshotsOnAWideLink) {
  snapshot_pacing pacing{.bytes_per_second = ToSnapshotRate(1000)};
  for (int i = 0; i < 100; ++i)
    EXPECT_LE(ReserveTurn(pacing, 500, AtMs(0)).value(), duration(2ms));
}

TEST(ViewSources, ForgetsSourcesThatAreNoLongerNewer) {
  std::vector<view_source> sources;
  RecordSource(sources, {{1, 1}, 5, {0, 100}, AtMs(0)});
  RecordSource(sources, {{2, 1}, 6, {0, 100}, AtMs(0)});
  EXPECT_TRUE(SelectSource(sources, 4, {0, 100}, 0, AtMs(10)));
  EXPECT_EQ(SelectSource(sources, 5, {0, 100}, 0, AtMs(10)), (endpoint{2, 1}));
  EXPECT_EQ(SelectSource(sources, 6, {0, 100}, 0, AtMs(10)), std::nullopt);
  EXPECT_TRUE(sources.empty());
}

TEST(ViewSources, AreBoundedAndExpire) {
  std::vector<view_source> sources;
  for (uint32_t peer = 1; peer <= 3 * kMaxViewSources; ++peer)
    RecordSource(sources, {{peer, 1}, 5, {0, 100}, AtMs(0)});
  EXPECT_EQ(sources.size(), kMaxViewSources);
  EXPECT_EQ(sources.back().peer.address, 3 * kMaxViewSources);
  EXPECT_EQ(SelectSource(sources, 1, {0, 1}, 0, AtMs(3000)), std::nullopt);
}

// The first member to have a table serves it to the others over a narrow link.
// Each one that has it serves it on, so all have it well before an edit is due.
TEST(SnapshotPacing, SpreadsATableInTimeOverNarrowLinks) {
  constexpr size_t kMembers = 60;
  constexpr int64_t kEditBoundMs = 5000;
  std::vector<snapshot_pacing> pacing(
      kMembers, {.bytes_per_second = ToSnapshotRate(kNarrowLinkMbps)});
  std::vector<int64_t> has_at(kMembers, -1);
  has_at[0] = 0;
  uint64_t round = 0;
  for (int64_t ms = 0; ms < kEditBoundMs; ms += 100) {
    for (size_t member = 1; member < kMembers; ++member) {
      if (has_at[member] >= 0) continue;
      std::vector<size_t> holders;
      for (size_t m = 0; m < kMembers; ++m)
        if (has_at[m] >= 0 && has_at[m] <= ms) holders.push_back(m);
      const size_t source = holders[(round++ * 7 + member) % holders.size()];
      const auto wait = ReserveTurn(pacing[source], kTableBytes, AtMs(ms));
      if (wait) has_at[member] = ms + ToMs(*wait) + 50;
    }
  }
  for (size_t member = 0; member < kMembers; ++member)
    EXPECT_GE(has_at[member], 0) << member;
  EXPECT_LE(*std::max_element(has_at.begin(), has_at.end()), kEditBoundMs / 2);
}

}  // namespace
}  // namespace radishyard
