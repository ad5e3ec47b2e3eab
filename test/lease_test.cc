// The lease on unsafe work: until when an owner places, what a successor may
// do, what is due next, and when a VM counts as ended.
#include "radishyard/lease.h"

#include <gtest/gtest.h>

#include "radishyard/roster.h"

namespace radishyard {
namespace {

const member_id kA{"a", 1};
const member_id kB{"b", 1};
const member_id kC{"c", 1};

roster ThreeMembers() {
  roster r{"rennes", 1, {}, {}};
  for (const member_id& id : {kA, kB, kC}) {
    member m;
    m.id = id;
    r.members.push_back(m);
  }
  r.pools.push_back({"notes", kA, {kB, kC}, {}, 1, 1, false});
  return r;
}

lease_state StateOf(const member_id& self, int64_t ms = 0) {
  lease_state state;
  state.self = self;
  return OnRoster(state, ThreeMembers(), 1, AtMs(ms));
}

// The roster in which b has taken the pool over.
roster TakenByB() {
  roster r = ThreeMembers();
  r.epoch = 2;
  r.pools[0] = {"notes", kB, {kC}, kA, 2, 2, false};
  return r;
}

std::optional<time_point> Until(const lease_state& state, int64_t ms) {
  return NonIdempotentDeadline(state, "notes", AtMs(ms));
}

TEST(Lease, SpansLeaveRoomForClocksAndPackets) {
  EXPECT_TRUE(LeaseEndsBeforeTakeover({}));
  EXPECT_FALSE(
      LeaseEndsBeforeTakeover({.lease = 1500ms, .takeover_wait = 2000ms}));
  EXPECT_FALSE(
      LeaseEndsBeforeTakeover({.lease = 2500ms, .takeover_wait = 2500ms}));
}

TEST(Lease, LastsFromTheOldestAcknowledgementOfAllSuccessors) {
  lease_state a = StateOf(kA);
  a = OnAcknowledgement(a, {kB, AtMs(2700), 1}, AtMs(2800));
  EXPECT_FALSE(Until(a, 2800)) << "c has not acknowledged";
  a = OnAcknowledgement(a, {kC, AtMs(2600), 1}, AtMs(2800));
  EXPECT_EQ(Until(a, 2800), AtMs(2600) + a.times.lease);
  EXPECT_FALSE(Until(a, 2499)) << "the wait of a new owner";
  EXPECT_FALSE(Until(a, 4100)) << "the lease has ended";
  a = OnAcknowledgement(a, {kC, AtMs(3000), 2}, AtMs(3000));
  a = OnAcknowledgement(a, {kC, AtMs(9000), 1}, AtMs(3000));
  EXPECT_EQ(Until(a, 3000), AtMs(2600) + a.times.lease)
      << "a later epoch or an instant to come does not count";
}

TEST(Lease, ConfirmedUpdateCarriesWhereASuccessorIsSilent) {
  lease_state a = StateOf(kA);
  const lease_inputs needs{{"notes"}, {}};
  EXPECT_EQ(NextAction(a, needs, AtMs(3000)).type,
            lease_action::action_type::kRenew);
  a = BeginUpdate(a, a.latest_roster, AtMs(3000));
  EXPECT_FALSE(Until(a, 3100));
  a = OnUpdateConfirmed(a, a.latest_roster, 2, AtMs(3400));
  EXPECT_EQ(Until(a, 3400), AtMs(3000) + a.times.lease);
  EXPECT_EQ(NextAction(a, needs, AtMs(3400)).type,
            lease_action::action_type::kNone);
  EXPECT_EQ(NextAction(a, needs, AtMs(3800)).type,
            lease_action::action_type::kRenew);
}

TEST(Lease, LostAnswerIsSettledByALaterVersionOnly) {
  lease_state b = OnHeartbeat(StateOf(kB), kA, 1);
  const lease_inputs needs{{}, {kA}};
  EXPECT_EQ(NextAction(b, needs, AtMs(0)),
            (lease_action{lease_action::action_type::kTakeOver, {"notes"}}));
  b = BeginUpdate(b, TakenByB(), AtMs(0));
  b = OnUpdateFailed(b, update_failure::kUnknown);
  b = OnRoster(b, ThreeMembers(), 1, AtMs(10));
  EXPECT_EQ(NextAction(b, needs, AtMs(10)).type,
            lease_action::action_type::kResolveUpdate);
  b = BeginUpdate(b, TakenByB(), AtMs(20));
  b = OnUpdateFailed(b, update_failure::kNotApplied);
  EXPECT_TRUE(b.pending) << "the conflict may be with its own first sending";
  b = OnRoster(b, TakenByB(), 2, AtMs(30));
  EXPECT_FALSE(b.pending);
  b = OnAcknowledgement(b, {kC, AtMs(2520), 2}, AtMs(2520));
  EXPECT_FALSE(Until(b, 2529));
  EXPECT_TRUE(Until(b, 2530));
}

TEST(Lease, OnlyACountedSuccessorTakesOver) {
  EXPECT_FALSE(MayTakeOver(StateOf(kB), "notes"));
  EXPECT_TRUE(MayTakeOver(OnHeartbeat(StateOf(kB), kA, 1), "notes"));
  EXPECT_FALSE(MayTakeOver(OnHeartbeat(StateOf({"d", 1}), kA, 1), "notes"));
  EXPECT_FALSE(MayTakeOver(OnHeartbeat(StateOf({"b", 2}), kA, 1), "notes"))
      << "a restarted successor is not named";
  const roster without_a = RemoveMember(ThreeMembers(), kA);
  EXPECT_TRUE(
      MayTakeOver(OnRoster(StateOf(kC), without_a, 2, AtMs(0)), "notes"))
      << "a's run has ended";
}

TEST(Lease, ReleasedPoolIsPlacedAtOnceByTheNextOwner) {
  roster released = TakenByB();
  released.pools[0].released = true;
  lease_state a = StateOf(kA);
  EXPECT_FALSE(MayRelease(a, "notes", AtMs(100)));
  for (const member_id& id : {kB, kC}) {
    a = OnAcknowledgement(a, {id, AtMs(2900), 1}, AtMs(2900));
  }
  EXPECT_EQ(ServicesToRelease(a, AtMs(3000)), std::set<std::string>{"notes"});
  EXPECT_TRUE(Until(a, 3000));
  a = BeginUpdate(a, released, AtMs(3000));
  EXPECT_FALSE(Until(a, 3000));
  lease_state b = OnRoster(StateOf(kB), released, 2, AtMs(3010));
  b = OnAcknowledgement(b, {kC, AtMs(3400), 2}, AtMs(3400));
  const time_point from = AtMs(3010) + kMaxPacketLifetime;
  EXPECT_FALSE(NonIdempotentDeadline(b, "notes", from - 1ms));
  EXPECT_TRUE(NonIdempotentDeadline(b, "notes", from));
}

TEST(Lease, RunThatIsListedNoMorePlacesNothing) {
  lease_state a = StateOf(kA);
  for (const member_id& id : {kB, kC}) {
    a = OnAcknowledgement(a, {id, AtMs(2900), 1}, AtMs(2900));
  }
  EXPECT_TRUE(Until(a, 3000));
  a = OnRoster(a, RemoveMember(a.latest_roster, kA), 2, AtMs(3000));
  EXPECT_FALSE(Until(a, 3000));
}

TEST(VmSightings, AbsenceProvesTheEndOnlyAfterTheBoundAndASighting) {
  const std::vector<vm_entry> both = {{"a", false}, {"b", false}};
  const std::vector<vm_entry> one = {{"b", false}};
  vm_list_history seen = RecordVmList({}, both, AtMs(0));
  seen = RecordVmList(seen, one, AtMs(1000));
  EXPECT_FALSE(HasVmEnded(seen, "a"));
  seen = RecordVmList(seen, both, AtMs(2000));
  seen = RecordVmList(seen, one, AtMs(3000));
  seen = RecordVmList(seen, one, AtMs(3000) + kVmAbsenceTimeout);
  EXPECT_FALSE(HasVmEnded(seen, "a"));
  seen = RecordVmList(seen, one, AtMs(3001) + kVmAbsenceTimeout);
  EXPECT_TRUE(HasVmEnded(seen, "a"));
  EXPECT_FALSE(HasVmEnded(seen, "b"));
  EXPECT_FALSE(HasVmEnded(seen, "never listed"));
}

}  // namespace
}  // namespace radishyard
