// What balancers make of each other's views.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "peer/peer_codec.h"
#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct;  // NOLINT(google-build-using-namespace)

view_report ReportOf(const forwarding_state& state, time_point now) {
  return {.table_version = state.table.version,
          .revision = state.directory.revision,
          .digest = state.digest,
          .age_ms = static_cast<uint32_t>(ToMs(now - state.directory.read_at))};
}

TEST(ViewSharing, ABalancerStartsFromAnothersSnapshot) {
  direct_world other({Entry(1), Entry(2, kAway)});
  forwarding_state fresh;
  fresh.domain = kHome;
  const view_snapshot snapshot = MakeSnapshot(other.state, {}, AtMs(5000));
  const snapshot_effect effect = ApplySnapshot(fresh, snapshot, AtMs(9000));
  EXPECT_TRUE(effect.table_applied && effect.list_applied);
  EXPECT_TRUE(IsReady(fresh));
  EXPECT_EQ(fresh.table, other.state.table);
  EXPECT_EQ(fresh.digest, other.state.digest);
  // What it knows is as old as it was at the other: 5 s.
  EXPECT_EQ(AtMs(9000) - fresh.directory.read_at, 5s);
}

TEST(ViewSharing, SnapshotLeavesOutTheTableThatTheAskerHas) {
  direct_world other({Entry(1)});
  EXPECT_TRUE(MakeSnapshot(other.state, {.table_version = 1}, AtMs(0))
                  .addresses.empty());
  EXPECT_EQ(MakeSnapshot(other.state, {}, AtMs(0)).addresses.size(), 2U);
}

/// Two balancers with the same list, and what the first sends of the second
/// one's later list.
struct delta_worlds {
  explicit delta_worlds(const std::vector<upstream_entry>& entries)
      : asker(entries), other(entries) {}

  view_snapshot Changes(time_point now) const {
    return MakeSnapshot(other.state, MakeSnapshotRequest(asker.state), now);
  }

  direct_world asker;
  direct_world other;
};

TEST(ViewSharing, ABalancerThatIsCloseBehindGetsOnlyWhatChanged) {
  upstream_entry cold = Entry(2);
  cold.cold_remaining = 5s;
  delta_worlds worlds({Entry(1), cold, Entry(3)});
  upstream_entry leaving = Entry(3);
  leaving.leaving = true;
  worlds.other.List({Entry(1), cold, leaving, Entry(4)}, AtMs(1000));
  worlds.other.List({cold, leaving, Entry(4)}, AtMs(2000));
  const view_snapshot changes = worlds.Changes(AtMs(2000));
  EXPECT_EQ(changes.upstreams.size(), 2U) << "the leaving and the new one";
  EXPECT_EQ(changes.removed, std::vector<uint64_t>{1});
  const auto effect = ApplySnapshot(worlds.asker.state, changes, AtMs(2000));
  EXPECT_TRUE(effect.list_applied);
  EXPECT_EQ(worlds.asker.state.digest, worlds.other.state.digest);
  using kind = directory_change::kind;
  const std::vector<directory_change> expected{
      {kind::kDraining, 3}, {kind::kJoined, 4}, {kind::kDeregistered, 1}};
  EXPECT_EQ(effect.changes, expected);
  // It stays cold until 5 s, whatever came in between.
  EXPECT_EQ(worlds.asker.Known(2).cold_until, AtMs(5000));
}

TEST(ViewSharing, AChangeOfALaterListIsLeftAlone) {
  delta_worlds worlds({Entry(1)});
  worlds.other.List({Entry(1), Entry(2)}, AtMs(1000));
  const view_snapshot changes = worlds.Changes(AtMs(1000));
  // Meanwhile the asker has read the registry itself.
  worlds.asker.List({Entry(3)}, AtMs(900));
  worlds.asker.state.directory.revision = 1;
  EXPECT_FALSE(
<<<<<<< tree
      TakeSnapshot(worlds.asker.state, changes, AtMs(1001)).list_taken);
  EXPECT_EQ(worlds.asker.state.applied_list.upstreams.size(), 1U);
=======
      ApplySnapshot(worlds.asker.state, changes, AtMs(1001)).list_applied);
  EXPECT_EQ(worlds.asker.state.listed.upstreams.size(), 1U);
>>>>>>> part c3ed545
}

TEST(ViewSharing, WhoeverIsFarBehindGetsTheWholeList) {
  delta_worlds worlds({Entry(1)});
  for (upstream_id id = 2; id < kMaxListChanges + 4; ++id)
    worlds.other.List({Entry(1), Entry(id)}, AtMs(100));
  const view_snapshot whole = worlds.Changes(AtMs(200));
  EXPECT_EQ(whole.base_digest, 0U);
  EXPECT_EQ(whole.upstreams.size(), 2U);
  EXPECT_TRUE(ApplySnapshot(worlds.asker.state, whole, AtMs(200)).list_applied);
  EXPECT_EQ(worlds.asker.state.digest, worlds.other.state.digest);
}

// Lists that change back and forth, and askers that skip some of them.
RC_GTEST_PROP(ViewSharing, ChangesAlwaysLeadToTheSendersList, ()) {
  delta_worlds worlds({Entry(1)});
  for (int step = 0; step < 20; ++step) {
    const auto listed = *rc::gen::arbitrary<uint8_t>();   // A bit for each.
    const auto leaving = *rc::gen::arbitrary<uint8_t>();  // The same.
    std::vector<upstream_entry> entries;
    for (upstream_id id = 1; id <= 8; ++id) {
      const unsigned bit = 1U << (id - 1);
      if ((listed & bit) == 0) continue;
      entries.push_back(Entry(id));
      entries.back().leaving = (leaving & bit) != 0;
    }
    const time_point now = AtMs(100 * (step + 1));
    worlds.other.List(entries, now);
    if (*rc::gen::arbitrary<bool>()) continue;
    ApplySnapshot(worlds.asker.state, worlds.Changes(now), now);
    RC_ASSERT(worlds.asker.state.digest == worlds.other.state.digest);
  }
}

TEST(ViewSharing, AnOlderSnapshotChangesNothing) {
  direct_world old({Entry(1)});
  direct_world world({Entry(1)});
  world.List({Entry(1), Entry(2)}, AtMs(100));
  ApplyTable(world.state, Table(4));
  const auto effect = ApplySnapshot(
      world.state, MakeSnapshot(old.state, {}, AtMs(200)), AtMs(200));
  EXPECT_FALSE(effect.table_applied || effect.list_applied);
  EXPECT_EQ(world.state.table.version, 4U);
  EXPECT_EQ(world.state.directory.upstreams.size(), 2U);
}

TEST(ViewSharing, ReportOfTheSameListConfirmsIt) {
  direct_world reader({Entry(1)});
  direct_world world({Entry(1)});
  reader.List({Entry(1)}, AtMs(1500));
  EXPECT_EQ(
      ApplyReport(world.state, ReportOf(reader.state, AtMs(1600)), AtMs(1600)),
      report_effect::kConfirmed);
  EXPECT_EQ(world.state.directory.read_at, AtMs(1500));
}

TEST(ViewSharing, ReportOfANewerListOrTableCallsForASnapshot) {
  direct_world reader({Entry(1)});
  direct_world world({Entry(1)});
  reader.List({Entry(1), Entry(2)}, AtMs(1500));
  const view_report list = ReportOf(reader.state, AtMs(1600));
  EXPECT_EQ(ApplyReport(world.state, list, AtMs(1600)),
            report_effect::kFetchSnapshot);
  ApplyTable(world.state, Table(2));
  ApplyTable(reader.state, Table(3));
  const view_report table = ReportOf(reader.state, AtMs(1600));
  EXPECT_EQ(ApplyReport(world.state, table, AtMs(1600)),
            report_effect::kFetchSnapshot);
}

// A balancer that is cut off from the platform must not pass for a fresh one.
TEST(ViewSharing, ReportOfAnOldViewConfirmsNothing) {
  direct_world behind({Entry(1)});
  direct_world world({Entry(1)});
  world.List({Entry(1), Entry(2)}, AtMs(1500));
  EXPECT_EQ(
      ApplyReport(world.state, ReportOf(behind.state, AtMs(9000)), AtMs(9000)),
      report_effect::kNone);
  EXPECT_EQ(world.state.directory.read_at, AtMs(1500));
}

// Readers that are cut off from the platform pass for informed until their next
// reading of the registry fails; an edit may be due before that is noticed.
TEST(ViewSharing, TableIsLeftToOthersOnlyWhereItsBoundAllows) {
  EXPECT_FALSE(IsTableRelayAllowed(1500ms, 3s));
  EXPECT_TRUE(IsTableRelayAllowed(2500ms, 5s));
}

TEST(ViewSharing, DigestHoldsWhatPlacementDependsOn) {
  const upstream_list list{1, {Entry(1), Entry(2)}};
  upstream_list other{9, {Entry(2), Entry(1)}};
  EXPECT_EQ(ListDigest(list), ListDigest(other));
  other.upstreams[0].cold_remaining = 500ms;
  EXPECT_EQ(ListDigest(list), ListDigest(other));
  other.upstreams[0].leaving = true;
  EXPECT_NE(ListDigest(list), ListDigest(other));
}

// Of 26 balancers each sees few answers of one upstream: together they see that
// it fails before it is well again.
TEST(ViewSharing, FailuresSeenElsewhereKeepNewFlowsAway) {
  direct_world world({Entry(1), Entry(2)});
  ApplyOutcomes(world.state, {{1, 2, 20'000, 2}, {99, 1, 1, 1}}, AtMs(1000));
  ApplyOutcomes(world.state, {{1, 2, 20'000, 2}}, AtMs(1100));
  EXPECT_TRUE(IsFailing(world.Known(1).stats, AtMs(1200)));
  for (uint32_t caller = 0; caller < 6; ++caller)
    EXPECT_EQ(world.Open(caller, AtMs(1200)).upstream, 2U);
}

TEST(ViewSharing, ABalancerReportsOnlyWhatItSawItself) {
  direct_world world({Entry(1)});
  ApplyOutcomes(world.state, {{1, 2, 20'000, 1}}, AtMs(1000));
  EXPECT_TRUE(ExtractOutcomes(world.state).empty());
  const verdict placed = world.Open(1, AtMs(2000));
  world.Send(1, placed.mark, 100, 50, 1, AtMs(2009));
  world.Send(1, placed.mark, 150, 0, 900, AtMs(2039));
  const std::vector<upstream_outcomes> expected{{1, 1, 30'000, 0}};
  EXPECT_EQ(ExtractOutcomes(world.state), expected);
  EXPECT_TRUE(ExtractOutcomes(world.state).empty());
}

TEST(ViewSharing, WhatDoesNotFitAReportComesWithTheNext) {
  std::vector<upstream_entry> entries;
  for (upstream_id id = 1; id <= kMaxReportedUpstreams + 5; ++id)
    entries.push_back(Entry(id));
  direct_world world(entries);
  for (auto& [id, known] : world.state.directory.upstreams)
    RecordResponseTime(known.stats, 20ms);
  EXPECT_EQ(ExtractOutcomes(world.state).size(), kMaxReportedUpstreams);
  EXPECT_EQ(ExtractOutcomes(world.state).size(), 5U);
  EXPECT_TRUE(ExtractOutcomes(world.state).empty());
}

TEST(ViewSharing, MessagesSurviveTheCodecAndItsFuzzing) {
  direct_world world({Entry(1), Entry(2, kAway)});
  view_report report = ReportOf(world.state, AtMs(10));
  report.self = {{0x7F000001, 80}, kHome, 55};
  report.members = {report.self};
  report.outcomes = {{1, 2, 3, 4}};
  std::mt19937 random(3);
  for (const peer_message& message :
       {peer_message(MakeSnapshot(world.state, {}, AtMs(10))),
        peer_message(report), peer_message(snapshot_request{7, 8})}) {
    failure why;
    const std::string frame = *EncodeFrame(message, why);
    EXPECT_EQ(DecodePayload(ParseFrame(frame).payload, why), message);
    constexpr int kRounds = 3000;
    for (int i = 0; i < kRounds; ++i) {
      std::string bytes = frame.substr(kFrameLengthBytes);
      for (uint32_t n = 1 + random() % 4; n-- > 0;)
        bytes[random() % bytes.size()] = static_cast<char>(random());
      if (i % 4 == 0) bytes.resize(random() % bytes.size());
      const auto decoded = DecodePayload(bytes, why);
      const auto* snapshot =
          decoded ? std::get_if<view_snapshot>(&*decoded) : nullptr;
      forwarding_state fresh;
      if (snapshot != nullptr) ApplySnapshot(fresh, *snapshot, AtMs(10));
    }
  }
}

constexpr uint32_t kHost = 0x0A010000;

view_member Member(uint32_t n, const std::string& domain = kHome,
                   uint32_t size = 55) {
  return {{kHost + n, 7000}, domain, size};
}

/// One view of the same domain per member, all heard at `now`.
std::vector<peer_members> Domain(uint32_t count, time_point now) {
  std::vector<peer_members> all(count);
  for (uint32_t i = 0; i < count; ++i) {
    all[i].self = Member(i);
    for (uint32_t j = 0; j < count; ++j) RecordMember(all[i], Member(j), now);
  }
  return all;
}

size_t CountReaders(const std::vector<peer_members>& all, time_point now) {
  return static_cast<size_t>(std::count_if(
      all.begin(), all.end(),
      [now](const peer_members& m) { return IsRegistryReader(m, now); }));
}

TEST(PeerMembers, TwoReadADomainWhateverItsSize) {
  for (uint32_t count : {1U, 2U, 3U, 26U})
    EXPECT_EQ(CountReaders(Domain(count, AtMs(0)), AtMs(1000)),
              std::min<size_t>(count, kMaxReadersPerDomain));
}

TEST(PeerMembers, LargerBalancersRead) {
  peer_members members{.self = Member(1, kHome, 500)};
  for (uint32_t n = 2; n < 30; ++n) RecordMember(members, Member(n), AtMs(0));
  EXPECT_TRUE(IsRegistryReader(members, AtMs(100)));
  RecordMember(members, Member(30, kHome, 900), AtMs(0));
  RecordMember(members, Member(31, kHome, 900), AtMs(0));
  EXPECT_FALSE(IsRegistryReader(members, AtMs(100)));
}

// Whoever hears nobody reads for itself.
TEST(PeerMembers, SilentMembersReadNoMore) {
  std::vector<peer_members> all = Domain(5, AtMs(0));
  EXPECT_EQ(CountReaders(all, AtMs(2500)), kMaxReadersPerDomain);
  EXPECT_EQ(CountReaders(all, AtMs(2501)), all.size());
}

TEST(PeerMembers, OtherDomainsDoNotCount) {
  peer_members members{.self = Member(1)};
  for (uint32_t n = 2; n < 9; ++n)
    RecordMember(members, Member(n, kAway, 900), AtMs(0));
  EXPECT_TRUE(IsRegistryReader(members, AtMs(0)));
  EXPECT_EQ(FindLiveMembers(members, kAway, AtMs(20'000)).size(), 7U);
  EXPECT_TRUE(SelectReportTargets(members, 16, 1, AtMs(0)).empty());
  ExpireMembers(members, AtMs(31'000));
  EXPECT_TRUE(members.known.empty());
}

TEST(PeerMembers, ReportsReachTheReadersAndByAndByEverybody) {
  const std::vector<peer_members> all = Domain(40, AtMs(0));
  std::set<endpoint> reached;
  for (uint64_t round = 0; round < 20; ++round) {
    const auto targets = SelectReportTargets(all[0], 16, round, AtMs(0));
    EXPECT_EQ(targets.size(), 16U);
    reached.insert(targets.begin(), targets.end());
  }
  EXPECT_EQ(reached.size(), 39U);
}

}  // namespace
}  // namespace radishyard
