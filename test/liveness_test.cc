// The failure detector, links by delegates at the later size, and summaries of
// other domains.
#include <gtest/gtest.h>

#include <algorithm>

#include "radishyard/roster.h"

namespace radishyard {
namespace {

const member_id kA{"a", 1};
const member_id kB{"b", 1};

liveness_state Watching(const member_id& peer) {
  liveness_state state;
  state.self = kA;
  return OnPeerListed(state, peer);
}

roster Domain(const std::string& name, int members) {
  roster r{name, 1, {}, {}};
  for (int i = 0; i < members; ++i) {
    member m;
    m.id = {name + "-" + std::to_string(i), 1};
    m.domain = name;
    r.members.push_back(m);
  }
  return r;
}

TEST(Liveness, SilentPeerBecomesSuspectThenDeadAndRecovers) {
  liveness_state state = Watching(kB);
  std::vector<health> seen;
  for (int tick = 1; tick <= 6; ++tick) {
    state = OnTick(state, AtMs(250 * tick));
    seen.push_back(HealthOf(state, kB));
  }
  EXPECT_EQ(seen, (std::vector<health>{health::kAlive, health::kAlive,
                                       health::kSuspect, health::kSuspect,
                                       health::kSuspect, health::kDead}));
  EXPECT_EQ(AliveMembers(state), std::set<member_id>{kA});
  state = OnTick(OnPeerHeard(state, kB), AtMs(1750));
  EXPECT_EQ(HealthOf(state, kB), health::kDead) << "one heartbeat is too few";
  state = OnTick(OnPeerHeard(state, kB), AtMs(2000));
  EXPECT_EQ(HealthOf(state, kB), health::kAlive);
}

TEST(Liveness, OwnPauseCountsAsOneMiss) {
  const liveness_state state = OnTick(Watching(kB), AtMs(250));
  EXPECT_EQ(HealthOf(OnTick(state, AtMs(60000)), kB), health::kAlive);
}

TEST(Liveness, RestartEndsTheEarlierRun) {
  liveness_state state = OnPeerHeard(Watching(kB), {"b", 2});
  EXPECT_EQ(HealthOf(state, kB), health::kDead);
  EXPECT_EQ(HealthOf(state, {"b", 2}), health::kAlive);
  EXPECT_EQ(OnPeerHeard(state, kB), state);
}

TEST(Links, StayFewAtAThousandNodesInThirteenDomains) {
  std::vector<roster> rosters;
  std::set<member_id> alive;
  for (int d = 0; d < 13; ++d) {
    rosters.push_back(Domain("d" + std::to_string(d), d == 0 ? 76 : 77));
    for (const member& m : rosters.back().members) alive.insert(m.id);
  }
  ASSERT_EQ(alive.size(), 1000u);
  const std::vector<member_id> delegates = DelegatesOf(rosters[1], alive);
  ASSERT_EQ(delegates.size(), 2u);
  size_t total = 0;
  for (const roster& r : rosters) {
    for (const member& m : r.members) {
      const std::vector<member_id> links = LinksOf(m.id, rosters, alive);
      total += links.size();
      EXPECT_LE(links.size(), 76u + 24u);
      for (const member_id& peer : links) {
        // Both ends keep the link.
        if (peer != delegates[0]) continue;
        const auto back = LinksOf(peer, rosters, alive);
        EXPECT_EQ(std::ranges::count(back, m.id), 1);
      }
    }
  }
  EXPECT_EQ(total, 12u * 77 * 76 + 76 * 75 + 26 * 24);
  alive.erase(delegates[0]);
  EXPECT_EQ(DelegatesOf(rosters[1], alive)[0], delegates[1]);
}

TEST(DomainSummary, OldCopiesKeepNothingAlive) {
  const roster r = Domain("vannes", 3);
  liveness_state delegate;
  delegate.self = r.members[0].id;
  delegate = OnPeerListed(delegate, r.members[1].id);
  for (int tick = 1; tick <= 6; ++tick) {
    delegate = OnTick(delegate, AtMs(250 * tick));
  }
  const domain_summary summary = SummaryOf(r, delegate, 5);
  EXPECT_EQ(summary.dead, std::vector<member_id>{r.members[1].id});
  remote_state remote = OnSummary({}, summary, AtMs(0));
  EXPECT_EQ(AliveIn(remote, r, AtMs(1999)),
            (std::set<member_id>{r.members[0].id, r.members[2].id}));
  remote = OnSummary(remote, summary, AtMs(1999));
  EXPECT_FALSE(IsReachable(remote, "vannes", AtMs(2000)));
  EXPECT_TRUE(AliveIn(remote, r, AtMs(2000)).empty());
  remote = OnSummary(remote, SummaryOf(r, delegate, 6), AtMs(2000));
  EXPECT_TRUE(IsReachable(remote, "vannes", AtMs(2000)));
}

}  // namespace
}  // namespace radishyard
