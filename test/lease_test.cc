// Tests of the lease on non-idempotent requests: until when an owner may place
// them, when a successor may take a pool over, which action is due next, and
// when a VM counts as ended.
#include "radishyard/lease.h"

#include <gtest/gtest.h>

#include "radishyard/roster.h"

namespace radishyard {
namespace {

const member_id kMemberA{"a", 1};
const member_id kMemberB{"b", 1};
const member_id kMemberC{"c", 1};

roster RosterWithThreeMembers() {
  roster r{"rennes", 1, {}, {}};
  for (const member_id& id : {kMemberA, kMemberB, kMemberC}) {
    member m;
    m.id = id;
    r.members.push_back(m);
  }
  r.pools.push_back({"notes", kMemberA, {kMemberB, kMemberC}, {}, 1, 1, false});
  return r;
}

lease_state InitialState(const member_id& self, int64_t ms = 0) {
  lease_state state;
  state.self = self;
  return OnRoster(state, RosterWithThreeMembers(), 1, AtMs(ms));
}

// The roster after b has taken the pool over.
roster RosterTakenOverByB() {
  roster r = RosterWithThreeMembers();
  r.epoch = 2;
  r.pools[0] = {"notes", kMemberB, {kMemberC}, kMemberA, 2, 2, false};
  return r;
}

std::optional<time_point> NotesDeadline(const lease_state& state, int64_t ms) {
  return NonIdempotentDeadline(state, "notes", AtMs(ms));
}

TEST(Lease, DurationsAllowForClockErrorAndPacketLifetime) {
  EXPECT_TRUE(LeaseEndsBeforeTakeover({}));
  EXPECT_FALSE(
      LeaseEndsBeforeTakeover({.lease = 1500ms, .takeover_wait = 2000ms}));
  EXPECT_FALSE(
      LeaseEndsBeforeTakeover({.lease = 2500ms, .takeover_wait = 2500ms}));
}

TEST(Lease, IsCountedFromTheOldestAcknowledgementOfAllSuccessors) {
  lease_state a = InitialState(kMemberA);
  a = OnAcknowledgement(a, {kMemberB, AtMs(2700), 1}, AtMs(2800));
  EXPECT_FALSE(NotesDeadline(a, 2800)) << "c has not acknowledged";
  a = OnAcknowledgement(a, {kMemberC, AtMs(2600), 1}, AtMs(2800));
  EXPECT_EQ(NotesDeadline(a, 2800), AtMs(2600) + a.times.lease);
  EXPECT_FALSE(NotesDeadline(a, 2499)) << "a new owner still waits";
  EXPECT_FALSE(NotesDeadline(a, 4100)) << "the lease has expired";
  a = OnAcknowledgement(a, {kMemberC, AtMs(3000), 2}, AtMs(3000));
  a = OnAcknowledgement(a, {kMemberC, AtMs(9000), 1}, AtMs(3000));
  EXPECT_EQ(NotesDeadline(a, 3000), AtMs(2600) + a.times.lease)
      << "a higher epoch or an instant in the future is dropped";
}

TEST(Lease, IsRenewedByARosterUpdateWhenASuccessorIsUnresponsive) {
  lease_state a = InitialState(kMemberA);
  const lease_inputs inputs{{"notes"}, {}};
  EXPECT_EQ(NextAction(a, inputs, AtMs(3000)).type,
            lease_action::action_type::kRenew);
  a = BeginUpdate(a, a.latest_roster, AtMs(3000));
  EXPECT_FALSE(NotesDeadline(a, 3100));
  a = OnUpdateConfirmed(a, a.latest_roster, 2, AtMs(3400));
  EXPECT_EQ(NotesDeadline(a, 3400), AtMs(3000) + a.times.lease);
  EXPECT_EQ(NextAction(a, inputs, AtMs(3400)).type,
            lease_action::action_type::kNone);
  EXPECT_EQ(NextAction(a, inputs, AtMs(3800)).type,
            lease_action::action_type::kRenew);
}

TEST(Lease, UpdateOfUnknownOutcomeIsResolvedOnlyByALaterVersion) {
  lease_state b = OnHeartbeat(InitialState(kMemberB), kMemberA, 1);
  const lease_inputs inputs{{}, {kMemberA}};
  EXPECT_EQ(NextAction(b, inputs, AtMs(0)),
            (lease_action{lease_action::action_type::kTakeOver, {"notes"}}));
  b = BeginUpdate(b, RosterTakenOverByB(), AtMs(0));
  b = OnUpdateFailed(b, update_failure::kUnknown);
  b = OnRoster(b, RosterWithThreeMembers(), 1, AtMs(10));
  EXPECT_EQ(NextAction(b, inputs, AtMs(10)).type,
            lease_action::action_type::kResolveUpdate);
  b = BeginUpdate(b, RosterTakenOverByB(), AtMs(20));
  b = OnUpdateFailed(b, update_failure::kNotApplied);
  EXPECT_TRUE(b.pending) << "the first attempt may have caused the conflict";
  b = OnRoster(b, RosterTakenOverByB(), 2, AtMs(30));
  EXPECT_FALSE(b.pending);
  b = OnAcknowledgement(b, {kMemberC, AtMs(2520), 2}, AtMs(2520));
  EXPECT_FALSE(NotesDeadline(b, 2529));
  EXPECT_TRUE(NotesDeadline(b, 2530));
}

TEST(Lease, OnlyASuccessorTakesOverAndOnlyAfterTheOwnerReportedTheEpoch) {
  EXPECT_FALSE(MayTakeOver(InitialState(kMemberB), "notes"));
  EXPECT_TRUE(
      MayTakeOver(OnHeartbeat(InitialState(kMemberB), kMemberA, 1), "notes"));
  EXPECT_FALSE(
      MayTakeOver(OnHeartbeat(InitialState({"d", 1}), kMemberA, 1), "notes"));
  EXPECT_FALSE(
      MayTakeOver(OnHeartbeat(InitialState({"b", 2}), kMemberA, 1), "notes"))
      << "the roster names the successor's run before its restart";
  const roster without_a = RemoveMember(RosterWithThreeMembers(), kMemberA);
  EXPECT_TRUE(MayTakeOver(
      OnRoster(InitialState(kMemberC), without_a, 2, AtMs(0)), "notes"))
      << "a run that is not in the roster has ended";
}

TEST(Lease, NextOwnerOfAReleasedPoolWaitsOnlyForPacketsInTransit) {
  roster released_roster = RosterTakenOverByB();
  released_roster.pools[0].released = true;
  lease_state a = InitialState(kMemberA);
  EXPECT_FALSE(MayRelease(a, "notes", AtMs(100)));
  for (const member_id& id : {kMemberB, kMemberC}) {
    a = OnAcknowledgement(a, {id, AtMs(2900), 1}, AtMs(2900));
  }
  EXPECT_EQ(ServicesToRelease(a, AtMs(3000)), std::set<std::string>{"notes"});
  EXPECT_TRUE(NotesDeadline(a, 3000));
  a = BeginUpdate(a, released_roster, AtMs(3000));
  EXPECT_FALSE(NotesDeadline(a, 3000));
  lease_state b =
      OnRoster(InitialState(kMemberB), released_roster, 2, AtMs(3010));
  b = OnAcknowledgement(b, {kMemberC, AtMs(3400), 2}, AtMs(3400));
  const time_point from = AtMs(3010) + kMaxPacketLifetime;
  EXPECT_FALSE(NonIdempotentDeadline(b, "notes", from - 1ms));
  EXPECT_TRUE(NonIdempotentDeadline(b, "notes", from));
}

TEST(Lease, RunRemovedFromTheRosterHasNoLease) {
  lease_state a = InitialState(kMemberA);
  for (const member_id& id : {kMemberB, kMemberC}) {
    a = OnAcknowledgement(a, {id, AtMs(2900), 1}, AtMs(2900));
  }
  EXPECT_TRUE(NotesDeadline(a, 3000));
  a = OnRoster(a, RemoveMember(a.latest_roster, kMemberA), 2, AtMs(3000));
  EXPECT_FALSE(NotesDeadline(a, 3000));
}

TEST(VmListHistory, VmHasEndedOnlyIfListedBeforeAndThenMissingForTheTimeout) {
  const std::vector<vm_entry> list_with_both = {{"a", false}, {"b", false}};
  const std::vector<vm_entry> list_with_b = {{"b", false}};
  vm_list_history history = RecordVmList({}, list_with_both, AtMs(0));
  history = RecordVmList(history, list_with_b, AtMs(1000));
  EXPECT_FALSE(HasVmEnded(history, "a"));
  history = RecordVmList(history, list_with_both, AtMs(2000));
  history = RecordVmList(history, list_with_b, AtMs(3000));
  history = RecordVmList(history, list_with_b, AtMs(3000) + kVmAbsenceTimeout);
  EXPECT_FALSE(HasVmEnded(history, "a"));
  history = RecordVmList(history, list_with_b, AtMs(3001) + kVmAbsenceTimeout);
  EXPECT_TRUE(HasVmEnded(history, "a"));
  EXPECT_FALSE(HasVmEnded(history, "b"));
  EXPECT_FALSE(HasVmEnded(history, "never listed"));
}

}  // namespace
}  // namespace radishyard
