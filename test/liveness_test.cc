// Tests of the failure detector, of the choice of delegates and links, and of
// the summaries of other domains.
#include <gtest/gtest.h>

#include <algorithm>

#include "radishyard/roster.h"

namespace radishyard {
namespace {

const member_id kSelf{"a", 1};
const member_id kPeer{"b", 1};

liveness_state StateMonitoring(const member_id& peer) {
  liveness_state state;
  state.self = kSelf;
  return StartMonitoring(state, peer);
}

roster MakeRoster(const std::string& name, int members) {
  roster r{name, 1, {}, {}};
  for (int i = 0; i < members; ++i) {
    member m;
    m.id = {name + "-" + std::to_string(i), 1};
    m.domain = name;
    r.members.push_back(m);
  }
  return r;
}

TEST(Liveness, PeerWithoutHeartbeatsBecomesSuspectThenDeadAndRecovers) {
  liveness_state state = StateMonitoring(kPeer);
  std::vector<peer_liveness> observed;
  for (int tick = 1; tick <= 6; ++tick) {
    state = CountMissedIntervals(state, AtMs(250 * tick));
    observed.push_back(LivenessOf(state, kPeer));
  }
  EXPECT_EQ(observed, (std::vector<peer_liveness>{
                          peer_liveness::kAlive, peer_liveness::kAlive,
                          peer_liveness::kSuspect, peer_liveness::kSuspect,
                          peer_liveness::kSuspect, peer_liveness::kDead}));
  EXPECT_EQ(AliveMembers(state), std::set<member_id>{kSelf});
  state = CountMissedIntervals(RecordHeartbeat(state, kPeer), AtMs(1750));
  EXPECT_EQ(LivenessOf(state, kPeer), peer_liveness::kDead)
      << "a single heartbeat is not enough";
  state = CountMissedIntervals(RecordHeartbeat(state, kPeer), AtMs(2000));
  EXPECT_EQ(LivenessOf(state, kPeer), peer_liveness::kAlive);
}

TEST(Liveness, PauseOfThisProcessCountsAsOneMissedInterval) {
  const liveness_state state =
      CountMissedIntervals(StateMonitoring(kPeer), AtMs(250));
  EXPECT_EQ(LivenessOf(CountMissedIntervals(state, AtMs(60000)), kPeer),
            peer_liveness::kAlive);
}

// A member of another domain is known by summaries until a link to it exists.
// Its record was that of a dead peer then, until two heartbeats had arrived.
TEST(Liveness, PeerIsMonitoredAnewOnceHeartbeatsAreExpected) {
  liveness_state state = StateMonitoring(kPeer);
  for (int tick = 1; tick <= 6; ++tick)
    state = CountMissedIntervals(state, AtMs(250 * tick));
  ASSERT_EQ(LivenessOf(state, kPeer), peer_liveness::kDead);
  state = RestartMonitoring(state, kPeer);
  EXPECT_EQ(LivenessOf(state, kPeer), peer_liveness::kAlive);
  for (int tick = 7; tick <= 12; ++tick)
    state = CountMissedIntervals(state, AtMs(250 * tick));
  EXPECT_EQ(LivenessOf(state, kPeer), peer_liveness::kDead)
      << "no heartbeat has arrived since";
  EXPECT_EQ(RestartMonitoring(state, {"b", 0}), state) << "an earlier run";
}

TEST(Liveness, NewRunOfAPeerMakesTheEarlierRunDead) {
  liveness_state state = RecordHeartbeat(StateMonitoring(kPeer), {"b", 2});
  EXPECT_EQ(LivenessOf(state, kPeer), peer_liveness::kDead);
  EXPECT_EQ(LivenessOf(state, {"b", 2}), peer_liveness::kAlive);
  EXPECT_EQ(RecordHeartbeat(state, kPeer), state);
}

TEST(Links, AreBoundedByDomainSizeAndDomainCountInALargeFleet) {
  std::vector<roster> rosters;
  std::set<member_id> alive;
  for (int d = 0; d < 13; ++d) {
    rosters.push_back(MakeRoster("d" + std::to_string(d), d == 0 ? 76 : 77));
    for (const member& m : rosters.back().members) alive.insert(m.id);
  }
  ASSERT_EQ(alive.size(), 1000u);
  const std::vector<member_id> delegates = ChooseDelegates(rosters[1], alive);
  ASSERT_EQ(delegates.size(), 2u);
  size_t total_links = 0;
  for (const roster& r : rosters) {
    for (const member& m : r.members) {
      const std::vector<member_id> links = ChooseLinks(m.id, rosters, alive);
      total_links += links.size();
      EXPECT_LE(links.size(), 76u + 24u);
      for (const member_id& peer : links) {
        // Both ends must choose the link.
        if (peer != delegates[0]) continue;
        const auto reverse_links = ChooseLinks(peer, rosters, alive);
        EXPECT_EQ(std::ranges::count(reverse_links, m.id), 1);
      }
    }
  }
  EXPECT_EQ(total_links, 12u * 77 * 76 + 76 * 75 + 26 * 24);
  alive.erase(delegates[0]);
  EXPECT_EQ(ChooseDelegates(rosters[1], alive)[0], delegates[1]);
}

TEST(DomainSummary, DuplicatesDoNotKeepADomainReachable) {
  const roster r = MakeRoster("vannes", 3);
  liveness_state delegate;
  delegate.self = r.members[0].id;
  delegate = StartMonitoring(delegate, r.members[1].id);
  for (int tick = 1; tick <= 6; ++tick) {
    delegate = CountMissedIntervals(delegate, AtMs(250 * tick));
  }
  const domain_summary summary = MakeDomainSummary(r, delegate, 5);
  EXPECT_EQ(summary.dead, std::vector<member_id>{r.members[1].id});
  remote_summaries remote = RecordSummary({}, summary, AtMs(0));
  EXPECT_EQ(LiveMembersOfDomain(remote, r, AtMs(1999)),
            (std::set<member_id>{r.members[0].id, r.members[2].id}));
  remote = RecordSummary(remote, summary, AtMs(1999));
  EXPECT_FALSE(HasCurrentSummary(remote, "vannes", AtMs(2000)));
  EXPECT_TRUE(LiveMembersOfDomain(remote, r, AtMs(2000)).empty());
  remote = RecordSummary(remote, MakeDomainSummary(r, delegate, 6), AtMs(2000));
  EXPECT_TRUE(HasCurrentSummary(remote, "vannes", AtMs(2000)));
}

}  // namespace
}  // namespace radishyard
