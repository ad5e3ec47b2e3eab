// Tests the messages between balancers: snapshots, reports, shared
// observations, and the choice of readers from the members of a domain.
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

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

view_report MakeReport(const forwarding_state& state, time_point now) {
  return {.table_version = state.table.version,
          .revision = state.directory.revision.number,
          .digest = state.digest,
          .age_ms = static_cast<uint32_t>(ToMs(now - state.directory.read_at))};
}

TEST(ViewSharing, StartsFromAnotherBalancersSnapshot) {
  direct_world other({MakeEntry(1), MakeEntry(2, kRemoteDomain)});
  forwarding_state fresh;
  fresh.domain = kLocalDomain;
  const view_snapshot snapshot = MakeSnapshot(other.state, {}, AtMs(5000));
  const snapshot_effect effect = ApplySnapshot(fresh, snapshot, AtMs(9000));
  EXPECT_TRUE(effect.table_applied && effect.list_applied);
  EXPECT_TRUE(IsReady(fresh));
  EXPECT_EQ(fresh.table, other.state.table);
  EXPECT_EQ(fresh.digest, other.state.digest);
  // The list is as old as at the sender: 5 s.
  EXPECT_EQ(AtMs(9000) - fresh.directory.read_at, 5s);
}

TEST(ViewSharing, SnapshotOmitsATableThatTheRequesterHas) {
  direct_world other({MakeEntry(1)});
  EXPECT_TRUE(MakeSnapshot(other.state, {.table_version = 1}, AtMs(0))
                  .addresses.empty());
  EXPECT_EQ(MakeSnapshot(other.state, {}, AtMs(0)).addresses.size(), 2U);
}

// A balancer that starts right after an outage takes the list of another one
// that has just been read, so it observes no gap between its lists itself.
TEST(ViewSharing, ABalancerThatStartsAfterAnOutageKeepsMissingUpstreams) {
  using kind = directory_change::kind;
  direct_world other({MakeEntry(1), MakeEntry(2), MakeEntry(3)});
  other.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(8000));
  forwarding_state fresh;
  fresh.domain = kLocalDomain;
  ApplySnapshot(fresh, MakeSnapshot(other.state, {}, AtMs(8300)), AtMs(8300));
  ASSERT_EQ(fresh.directory.upstreams.size(), 2U);
  const auto changes = ApplyUpstreamList(
      fresh, {{0, other.revision + 1}, {MakeEntry(1)}}, AtMs(9000), AtMs(9000));
  EXPECT_EQ(changes, (std::vector<directory_change>{{kind::kMissing, 2}}));
}

TEST(ViewSharing, AReportTellsOfAnOutageThatTheReceiverHasNotObserved) {
  using kind = directory_change::kind;
  direct_world other({MakeEntry(1), MakeEntry(2)});
  direct_world receiver({MakeEntry(1), MakeEntry(2)});
  view_report report = MakeReport(other.state, AtMs(5000));
  report.outage_age_ms = OutageAgeMs(other.state.directory, AtMs(5000));
  EXPECT_EQ(report.outage_age_ms, 0U) << "no list for 5 s";
  receiver.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(2500));
  ApplyReport(receiver.state, report, AtMs(5000));
  EXPECT_EQ(receiver.ApplyList({MakeEntry(1)}, AtMs(5200)),
            (std::vector<directory_change>{{kind::kMissing, 2}}));
}

// Otherwise the delays of messages would prolong an outage without end.
TEST(ViewSharing, AnOutageHeardOfIsNotReportedFurther) {
  direct_world receiver({MakeEntry(1)});
  RecordPeerOutage(receiver.state.directory, 0ms, AtMs(500));
  EXPECT_EQ(OutageAgeMs(receiver.state.directory, AtMs(600)), kNoOutage);
}

TEST(ViewSharing, AnOutageIsReportedUntilItsEffectsAreOver) {
  direct_world world({MakeEntry(1)});
  EXPECT_EQ(OutageAgeMs(world.state.directory, AtMs(1000)), kNoOutage);
  EXPECT_EQ(OutageAgeMs(world.state.directory, AtMs(6000)), 0U);
  world.ApplyList({MakeEntry(1)}, AtMs(7000));
  EXPECT_EQ(OutageAgeMs(world.state.directory, AtMs(8000)), 1000U);
  EXPECT_EQ(OutageAgeMs(world.state.directory, AtMs(9600)), kNoOutage);
}

// Balancers of two releases run side by side while they are replaced in turn.
TEST(ViewSharing, AReportWithoutTheFieldsOfALaterReleaseIsAccepted) {
  view_report report;
  report.self = {{1, 2}, kLocalDomain, 3};
  report.revision = 7;
  report.outage_age_ms = 5;
  report.table_age_ms = 6;
  failure why;
  std::string payload = EncodeFrame(report, why)->substr(kFrameLengthBytes);
  // The body is a short array that ends with the one-byte integers 5 and 6;
  // empty evacuations, an array of 0, a 32-bit integer, false, an empty array
  // and 0; an empty load, an array of 0, an empty array and an empty blob; and
  // the epoch 0.
  const auto drop_last_field = [&payload](size_t bytes) {
    payload[2] = static_cast<char>(payload[2] - 1);
    payload.erase(payload.size() - bytes);
  };
  constexpr size_t kEmptyLoadBytes = 5;
  constexpr size_t kEmptyEvacuationsBytes = 10;
  drop_last_field(1);
  drop_last_field(kEmptyLoadBytes);
  drop_last_field(kEmptyEvacuationsBytes);
  drop_last_field(1);
  drop_last_field(1);
  const auto decoded = DecodePayload(payload, why);
  ASSERT_TRUE(decoded) << why.text;
  report.outage_age_ms = kNoOutage;
  report.table_age_ms = kNotConfirmed;
  EXPECT_EQ(std::get<view_report>(*decoded), report);
  drop_last_field(1);
  EXPECT_FALSE(DecodePayload(payload, why));
}

/// Two balancers that start with the same list. `requester` requests snapshots
/// from `other`, which receives later lists.
struct balancer_pair {
  explicit balancer_pair(const std::vector<upstream_entry>& entries)
      : requester(entries), other(entries) {}

  view_snapshot MakeSnapshotForRequester(time_point now) const {
    return MakeSnapshot(other.state, MakeSnapshotRequest(requester.state), now);
  }

  direct_world requester;
  direct_world other;
};

TEST(ViewSharing, SnapshotForASlightlyOlderListHasOnlyTheChanges) {
  upstream_entry cold = MakeEntry(2);
  cold.cold_remaining = 5s;
  balancer_pair pair({MakeEntry(1), cold, MakeEntry(3)});
  upstream_entry leaving = MakeEntry(3);
  leaving.leaving = true;
  pair.other.ApplyList({MakeEntry(1), cold, leaving, MakeEntry(4)}, AtMs(1000));
  pair.other.ApplyList({cold, leaving, MakeEntry(4)}, AtMs(2000));
  const view_snapshot changes = pair.MakeSnapshotForRequester(AtMs(2000));
  EXPECT_EQ(changes.upstreams.size(), 2U) << "the leaving and the new one";
  EXPECT_EQ(changes.removed, std::vector<uint64_t>{1});
  const auto effect = ApplySnapshot(pair.requester.state, changes, AtMs(2000));
  EXPECT_TRUE(effect.list_applied);
  EXPECT_EQ(pair.requester.state.digest, pair.other.state.digest);
  using kind = directory_change::kind;
  const std::vector<directory_change> expected{
      {kind::kLeaving, 3}, {kind::kJoined, 4}, {kind::kDeregistered, 1}};
  EXPECT_EQ(effect.changes, expected);
  // The cold start still ends at 5 s, despite the lists in between.
  EXPECT_EQ(pair.requester.Upstream(2).cold_until, AtMs(5000));
}

TEST(ViewSharing, DropsADifferenceFromAnotherList) {
  balancer_pair pair({MakeEntry(1)});
  pair.other.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(1000));
  const view_snapshot changes = pair.MakeSnapshotForRequester(AtMs(1000));
  // Meanwhile the requester has read the registry itself.
  pair.requester.ApplyList({MakeEntry(3)}, AtMs(900));
  pair.requester.state.directory.revision = {0, 1};
  EXPECT_FALSE(
      ApplySnapshot(pair.requester.state, changes, AtMs(1001)).list_applied);
  EXPECT_EQ(pair.requester.state.applied_list.upstreams.size(), 1U);
}

TEST(ViewSharing, SnapshotForAMuchOlderListHasTheWholeList) {
  balancer_pair pair({MakeEntry(1)});
  for (upstream_id id = 2; id < kMaxListChanges + 4; ++id)
    pair.other.ApplyList({MakeEntry(1), MakeEntry(id)}, AtMs(100));
  const view_snapshot whole = pair.MakeSnapshotForRequester(AtMs(200));
  EXPECT_EQ(whole.base_digest, 0U);
  EXPECT_EQ(whole.upstreams.size(), 2U);
  EXPECT_TRUE(
      ApplySnapshot(pair.requester.state, whole, AtMs(200)).list_applied);
  EXPECT_EQ(pair.requester.state.digest, pair.other.state.digest);
}

// Entries appear and disappear repeatedly, and the requester skips some lists.
RC_GTEST_PROP(ViewSharing, AppliedDifferencesYieldTheSendersList, ()) {
  balancer_pair pair({MakeEntry(1)});
  for (int step = 0; step < 20; ++step) {
    const auto listed = *rc::gen::arbitrary<uint8_t>();   // One bit per id.
    const auto leaving = *rc::gen::arbitrary<uint8_t>();  // One bit per id.
    std::vector<upstream_entry> entries;
    for (upstream_id id = 1; id <= 8; ++id) {
      const unsigned bit = 1U << (id - 1);
      if ((listed & bit) == 0) continue;
      entries.push_back(MakeEntry(id));
      entries.back().leaving = (leaving & bit) != 0;
    }
    const time_point now = AtMs(100 * (step + 1));
    pair.other.ApplyList(entries, now);
    if (*rc::gen::arbitrary<bool>()) continue;
    ApplySnapshot(pair.requester.state, pair.MakeSnapshotForRequester(now),
                  now);
    RC_ASSERT(pair.requester.state.digest == pair.other.state.digest);
  }
}

TEST(ViewSharing, DropsAnOlderSnapshot) {
  direct_world old({MakeEntry(1)});
  direct_world world({MakeEntry(1)});
  world.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(100));
  ApplyTable(world.state, MakeRoutingTable(4));
  const auto effect = ApplySnapshot(
      world.state, MakeSnapshot(old.state, {}, AtMs(200)), AtMs(200));
  EXPECT_FALSE(effect.table_applied || effect.list_applied);
  EXPECT_EQ(world.state.table.version, 4U);
  EXPECT_EQ(world.state.directory.upstreams.size(), 2U);
}

TEST(ViewSharing, ReportOfTheSameListConfirmsIt) {
  direct_world reader({MakeEntry(1)});
  direct_world world({MakeEntry(1)});
  reader.ApplyList({MakeEntry(1)}, AtMs(1500));
  EXPECT_EQ(ApplyReport(world.state, MakeReport(reader.state, AtMs(1600)),
                        AtMs(1600)),
            report_effect::kConfirmed);
  EXPECT_EQ(world.state.directory.read_at, AtMs(1500));
}

TEST(ViewSharing, ReportOfANewerListOrTableRequiresASnapshot) {
  direct_world reader({MakeEntry(1)});
  direct_world world({MakeEntry(1)});
  reader.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(1500));
  const view_report list = MakeReport(reader.state, AtMs(1600));
  EXPECT_EQ(ApplyReport(world.state, list, AtMs(1600)),
            report_effect::kFetchSnapshot);
  ApplyTable(world.state, MakeRoutingTable(2));
  ApplyTable(reader.state, MakeRoutingTable(3));
  const view_report table = MakeReport(reader.state, AtMs(1600));
  EXPECT_EQ(ApplyReport(world.state, table, AtMs(1600)),
            report_effect::kFetchSnapshot);
}

// A balancer that has lost the platform must not confirm a list.
TEST(ViewSharing, ReportOfAnOlderListConfirmsNothing) {
  direct_world behind({MakeEntry(1)});
  direct_world world({MakeEntry(1)});
  world.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(1500));
  EXPECT_EQ(ApplyReport(world.state, MakeReport(behind.state, AtMs(9000)),
                        AtMs(9000)),
            report_effect::kNone);
  EXPECT_EQ(world.state.directory.read_at, AtMs(1500));
}

// A reader whose watch the platform has lost learns of an edit late, and so do
// those that rely on it. An edit may have to take effect before that.
// DRAIN: revisions are assigned again after the store has returned from a copy.
TEST(ViewSharing, AViewOfALaterEpochIsNewerWhateverItsRevision) {
  direct_world other({MakeEntry(1)});
  direct_world receiver({MakeEntry(1)});
  other.epoch = receiver.epoch = 2;
  receiver.revision = 90;
  receiver.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(0));
  other.epoch = 3;
  other.revision = 10;
  other.ApplyList({MakeEntry(1)}, AtMs(100));
  view_report report = MakeReport(other.state, AtMs(200));
  report.epoch = other.state.directory.revision.epoch;
  EXPECT_EQ(ApplyReport(receiver.state, report, AtMs(200)),
            report_effect::kFetchSnapshot);
  const view_snapshot late = MakeSnapshot(receiver.state, {}, AtMs(200));
  EXPECT_TRUE(ApplySnapshot(receiver.state,
                            MakeSnapshot(other.state, {}, AtMs(200)), AtMs(200))
                  .list_applied);
  EXPECT_EQ(receiver.state.directory.revision, (store_revision{3, 11}));
  EXPECT_FALSE(ApplySnapshot(other.state, late, AtMs(300)).list_applied);
}

// Balancers of an earlier release report no epoch.
TEST(ViewSharing, AViewWithoutAnEpochIsOlderThanAnyWithOne) {
  direct_world earlier_release({MakeEntry(1)});
  earlier_release.revision = 500;
  earlier_release.ApplyList({MakeEntry(1), MakeEntry(2)}, AtMs(0));
  direct_world receiver({MakeEntry(1)});
  receiver.epoch = 1;
  receiver.ApplyList({MakeEntry(1)}, AtMs(0));
  EXPECT_EQ(
      ApplyReport(receiver.state, MakeReport(earlier_release.state, AtMs(100)),
                  AtMs(100)),
      report_effect::kNone);
}

TEST(ViewSharing, ReliesOnOthersForTheTableOnlyIfTheEditBoundAllows) {
  EXPECT_FALSE(IsTableRelayAllowed(1500ms, 3s));
  EXPECT_TRUE(IsTableRelayAllowed(2500ms, 5s));
  EXPECT_FALSE(IsTableRelayAllowed(10s, 5s));
}

// The readers are gone: a balancer that relies on them reads the table in time.
TEST(ViewSharing, ReadsTheTableInTimeOnceNobodyConfirmsIt) {
  for (const duration bound : {5000ms, 6000ms}) {
    EXPECT_LE(TableConfirmationTimeout(bound) +
                  follower_times{}.recheck_interval + kReadTimeAllowance,
              bound);
  }
}

TEST(ViewSharing, DigestCoversWhatPlacementDependsOn) {
  const upstream_list list{{0, 1}, {MakeEntry(1), MakeEntry(2)}};
  upstream_list other{{0, 9}, {MakeEntry(2), MakeEntry(1)}};
  EXPECT_EQ(ListDigest(list), ListDigest(other));
  other.upstreams[0].cold_remaining = 500ms;
  EXPECT_EQ(ListDigest(list), ListDigest(other));
  other.upstreams[0].leaving = true;
  EXPECT_NE(ListDigest(list), ListDigest(other));
}

// With 26 balancers, each one observes few responses of one upstream. Only the
// observations of all show in time that it fails.
TEST(ViewSharing, AvoidsAnUpstreamWithFailuresReportedByOthers) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  ApplyOutcomes(world.state, {{1, 2, 20'000, 2}, {99, 1, 1, 1}}, AtMs(1000));
  ApplyOutcomes(world.state, {{1, 2, 20'000, 2}}, AtMs(1100));
  EXPECT_TRUE(IsFailing(world.Upstream(1).stats, AtMs(1200)));
  for (uint32_t caller = 0; caller < 6; ++caller)
    EXPECT_EQ(world.SendOpening(caller, AtMs(1200)).upstream, 2U);
}

TEST(ViewSharing, ReportsOnlyItsOwnObservations) {
  direct_world world({MakeEntry(1)});
  ApplyOutcomes(world.state, {{1, 2, 20'000, 1}}, AtMs(1000));
  EXPECT_TRUE(ExtractOutcomes(world.state).empty());
  const verdict placed = world.SendOpening(1, AtMs(2000));
  world.SendPacket(1, placed.mark, 100, 50, 1, AtMs(2009));
  world.SendPacket(1, placed.mark, 150, 0, 900, AtMs(2039));
  const std::vector<upstream_outcomes> expected{{1, 1, 30'000, 0}};
  EXPECT_EQ(ExtractOutcomes(world.state), expected);
  EXPECT_TRUE(ExtractOutcomes(world.state).empty());
}

TEST(ViewSharing, ReportsExcessUpstreamsWithTheNextReport) {
  std::vector<upstream_entry> entries;
  for (upstream_id id = 1; id <= kMaxReportedUpstreams + 5; ++id)
    entries.push_back(MakeEntry(id));
  direct_world world(entries);
  for (auto& [id, known] : world.state.directory.upstreams)
    RecordResponseTime(known.stats, 20ms);
  EXPECT_EQ(ExtractOutcomes(world.state).size(), kMaxReportedUpstreams);
  EXPECT_EQ(ExtractOutcomes(world.state).size(), 5U);
  EXPECT_TRUE(ExtractOutcomes(world.state).empty());
}

TEST(ViewSharing, MessagesRoundTripAndFuzzedOnesAreHandled) {
  direct_world world({MakeEntry(1), MakeEntry(2, kRemoteDomain)});
  view_report report = MakeReport(world.state, AtMs(10));
  report.self = {{0x7F000001, 80}, kLocalDomain, 55};
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

constexpr uint32_t kFirstPeerAddress = 0x0A010000;

view_member MakeMember(uint32_t n, const std::string& domain = kLocalDomain,
                       uint32_t size = 55) {
  return {{kFirstPeerAddress + n, 7000}, domain, size};
}

/// Returns the member lists of all balancers of a domain, with a report of
/// every member recorded at `now`.
std::vector<peer_members> MakeDomain(uint32_t count, time_point now) {
  std::vector<peer_members> all(count);
  for (uint32_t i = 0; i < count; ++i) {
    all[i].self = MakeMember(i);
    for (uint32_t j = 0; j < count; ++j)
      RecordMember(all[i], MakeMember(j), now);
  }
  return all;
}

size_t CountReaders(const std::vector<peer_members>& all, time_point now) {
  return static_cast<size_t>(std::count_if(
      all.begin(), all.end(),
      [now](const peer_members& m) { return IsRegistryReader(m, now); }));
}

TEST(PeerMembers, TwoMembersReadForADomainOfAnySize) {
  for (uint32_t count : {1U, 2U, 3U, 26U})
    EXPECT_EQ(CountReaders(MakeDomain(count, AtMs(0)), AtMs(1000)),
              std::min<size_t>(count, kMaxReadersPerDomain));
}

TEST(PeerMembers, LargestMembersRead) {
  peer_members members{.self = MakeMember(1, kLocalDomain, 500)};
  for (uint32_t n = 2; n < 30; ++n)
    RecordMember(members, MakeMember(n), AtMs(0));
  EXPECT_TRUE(IsRegistryReader(members, AtMs(100)));
  RecordMember(members, MakeMember(30, kLocalDomain, 900), AtMs(0));
  RecordMember(members, MakeMember(31, kLocalDomain, 900), AtMs(0));
  EXPECT_FALSE(IsRegistryReader(members, AtMs(100)));
}

// A balancer without recent reports of others reads the platform itself.
TEST(PeerMembers, MembersWithoutRecentReportsAreNotCounted) {
  std::vector<peer_members> all = MakeDomain(5, AtMs(0));
  EXPECT_EQ(CountReaders(all, AtMs(2500)), kMaxReadersPerDomain);
  EXPECT_EQ(CountReaders(all, AtMs(2501)), all.size());
}

TEST(PeerMembers, MembersOfOtherDomainsAreNotCounted) {
  peer_members members{.self = MakeMember(1)};
  for (uint32_t n = 2; n < 9; ++n)
    RecordMember(members, MakeMember(n, kRemoteDomain, 900), AtMs(0));
  EXPECT_TRUE(IsRegistryReader(members, AtMs(0)));
  EXPECT_EQ(FindLiveMembers(members, kRemoteDomain, AtMs(20'000)).size(), 7U);
  EXPECT_TRUE(SelectReportTargets(members, 16, 1, AtMs(0)).empty());
  ExpireMembers(members, AtMs(31'000));
  EXPECT_TRUE(members.known.empty());
}

TEST(PeerMembers, ReportsReachEveryMemberWithinSomeRounds) {
  const std::vector<peer_members> all = MakeDomain(40, AtMs(0));
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
