// Tests the limit of openings on cold upstreams at one balancer: grants, claims
// and placement. start_limit_model_test.cc has all balancers together.
#include "direct/start_limit/start_limit.h"

#include <gtest/gtest.h>

#include "direct/start_limit/cold_starts.h"
#include "peer/peer_codec.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

constexpr start_incarnation kRun{7, 1007};

/// A balancer with one cold upstream, 7, of a service with a limit of 5.
struct cold_world : direct_world {
  cold_world() : direct_world({}) {
    routing_table table = MakeRoutingTable(2);
    table.start_rates = {{kService, 5000, 2s}};
    ApplyTable(state, table);
    Learn(2s);
  }
  void Learn(duration cold_remaining) {
    upstream_entry entry = MakeEntry(7);
    entry.cold_remaining = cold_remaining;
    ApplyList({entry}, AtMs(0));
    UpdateColdStarts(state.starts, state.table, state.directory, AtMs(0),
                     AtMs(0));
  }
  limited_upstream& Cold() { return state.starts.upstreams.at(7); }
};

grant_reply MakeReply(uint64_t id, uint32_t openings,
                      granter_state granter = granter_state::kHolds) {
  return {.of = kRun,
          .id = id,
          .granter = static_cast<uint8_t>(granter),
          .openings = openings};
}

TEST(StartLimit, ComputesTheLimitOfAService) {
  EXPECT_EQ(MakeStartLimit(5000, {1.5, 5}).openings_per_second, 12U);
  EXPECT_EQ(MakeStartLimit(0, {1.5, 5}).openings_per_second, 0U);
  EXPECT_EQ(MakeStartLimit(100, {}).openings_per_second, 1U);
}

// Grants of two seconds ago may still arrive at the upstream.
TEST(StartLimit, GranterBoundsWhatItGrantsInAWindow) {
  start_granter granter;
  EXPECT_EQ(MakeGrant(granter, {5}, 3, AtMs(1000)), 3U);
  EXPECT_EQ(MakeGrant(granter, {5}, 3, AtMs(1500)), 2U);
  EXPECT_EQ(MakeGrant(granter, {5}, 3, AtMs(1000) + kGrantWindow), 0U);
  EXPECT_EQ(MakeGrant(granter, {5}, 9, AtMs(1000) + kGrantWindow + 1ns), 3U);
}

TEST(StartLimit, MemoryOfTheGranterIsBounded) {
  start_granter granter;
  for (int us = 0; us < 20'000; ++us)
    MakeGrant(granter, {1'000'000}, 1, AtMs(0) + microseconds(us));
  EXPECT_LE(granter.granted.size(), 20U);
}

// A reply that was delayed must not make a grant last longer.
TEST(StartLimit, AGrantEndsAFixedTimeAfterItsRequest) {
  start_requester requester;
  RecordUnmet(requester, AtMs(0));
  ASSERT_TRUE(RequestGrant(requester, kRun, 1, AtMs(0)));
  EXPECT_EQ(ApplyReply(requester, MakeReply(1, 2), AtMs(250)), 2U);
  EXPECT_TRUE(UseGrant(requester, AtMs(299)));
  EXPECT_FALSE(UseGrant(requester, AtMs(300)));
}

// A copy of a reply, or one to an earlier process, grants nothing.
TEST(StartLimit, OnlyTheReplyToThePendingRequestCounts) {
  start_requester requester;
  RecordUnmet(requester, AtMs(0));
  ASSERT_TRUE(RequestGrant(requester, kRun, 10, AtMs(0)));
  EXPECT_EQ(ApplyReply(requester, MakeReply(9, 5), AtMs(1)), 0U);
  EXPECT_EQ(ApplyReply(requester, MakeReply(10, 1), AtMs(1)), 1U);
  EXPECT_EQ(ApplyReply(requester, MakeReply(10, 1), AtMs(2)), 0U);
  EXPECT_TRUE(UseGrant(requester, AtMs(3)));
  EXPECT_FALSE(UseGrant(requester, AtMs(3)));
}

TEST(StartLimit, AsksTheNextInRankAndPausesAfterTheLast) {
  start_requester requester;
  RecordUnmet(requester, AtMs(0));
  for (uint64_t id = 1; id <= kMaxGranterRank; ++id) {
    ASSERT_TRUE(RequestGrant(requester, kRun, id, AtMs(0)));
    ApplyReply(requester, MakeReply(id, 0, granter_state::kNone), AtMs(1));
  }
  EXPECT_EQ(requester.rank, 0U);
  EXPECT_FALSE(RequestGrant(requester, kRun, 9, AtMs(2)));
  EXPECT_TRUE(RequestGrant(requester, kRun, 9, AtMs(1) + kDenialPause));
}

// A lost reply to the creation must neither make a granter of a balancer
// without a claim, nor leave the claim unused.
TEST(StartClaim, ALostReplyIsResolvedByALookup) {
  start_claim claim;
  ASSERT_EQ(BeginClaimStep(claim, AtMs(0)), claim_step::kCreate);
  ApplyClaimResult(claim, claim_result::kUnknown, AtMs(1));
  EXPECT_EQ(BeginClaimStep(claim, AtMs(2)), claim_step::kNone);
  ASSERT_EQ(BeginClaimStep(claim, AtMs(500)), claim_step::kLookUp);
  ApplyClaimResult(claim, claim_result::kAbsent, AtMs(501));
  ASSERT_EQ(BeginClaimStep(claim, AtMs(1000)), claim_step::kCreate);
  ApplyClaimResult(claim, claim_result::kExists, AtMs(1001));
  ASSERT_EQ(BeginClaimStep(claim, AtMs(1001)), claim_step::kLookUp);
  ApplyClaimResult(claim, claim_result::kCreated, AtMs(1002));
  EXPECT_EQ(claim.phase, claim_phase::kHeld);
}

// A granter that has restarted finds its own earlier object and must not grant.
TEST(StartClaim, AnObjectOfAnotherProcessIsALostClaim) {
  start_claim claim;
  BeginClaimStep(claim, AtMs(0));
  ApplyClaimResult(claim, claim_result::kExists, AtMs(1));
  EXPECT_EQ(claim.phase, claim_phase::kLost);
  EXPECT_EQ(BeginClaimStep(claim, AtMs(9000)), claim_step::kNone);
}

TEST(StartClaim, OrphansAreThoseKnownForLongerThanAnyColdStart) {
  observed_claims observed;
  EXPECT_TRUE(FindOrphans(observed, {"7-1", "8-1"}, AtMs(0)).empty());
  EXPECT_TRUE(FindOrphans(observed, {"7-1"}, AtMs(119'999)).empty());
  EXPECT_EQ(FindOrphans(observed, {"7-1", "8-1"}, AtMs(120'000)),
            std::vector<std::string>{"7-1"});
}

TEST(ColdStarts, AnOpeningWaitsForAGrantAndIsThenPlaced) {
  cold_world world;
  const verdict first = world.SendOpening(1, AtMs(10));
  EXPECT_EQ(first.action, verdict_action::kDrop);
  EXPECT_EQ(first.reason, verdict_reason::kColdUpstream);
  EXPECT_EQ(first.wanted_start, 7U);
  cold_starts& starts = world.state.starts;
  RecordUnmet(starts, 7, AtMs(10));
  const auto request = RequestGrant(starts, 7, AtMs(10));
  ASSERT_TRUE(request);
  ApplyReply(starts, MakeReply(request->id, 1), AtMs(12));
  EXPECT_EQ(world.SendOpening(1, AtMs(210), 1).upstream, 7U);
  EXPECT_EQ(world.SendOpening(2, AtMs(211)).action, verdict_action::kDrop);
}

// An opening that cannot be served in time is refused at once.
TEST(ColdStarts, AnOpeningIsRefusedWhereNoGrantIsExpected) {
  cold_world world;
  RecordUnmet(world.state.starts, 7, AtMs(10));
  const auto request = RequestGrant(world.state.starts, 7, AtMs(10));
  ApplyReply(world.state.starts, MakeReply(request->id, 0), AtMs(12));
  EXPECT_EQ(world.SendOpening(1, AtMs(20)).action, verdict_action::kRefuse);
  EXPECT_EQ(world.SendOpening(2, AtMs(150), 2).action, verdict_action::kRefuse);
}

TEST(ColdStarts, AWarmUpstreamIsPreferredToAColdOneWithoutAGrant) {
  cold_world world;
  upstream_entry cold = MakeEntry(7);
  cold.cold_remaining = 2s;
  world.ApplyList({cold, MakeEntry(8)}, AtMs(0));
  // Until UpdateColdStarts() has seen the new upstream, it gets no opening.
  EXPECT_EQ(world.SendOpening(1, AtMs(1)).action, verdict_action::kDrop);
  UpdateColdStarts(world.state.starts, world.state.table, world.state.directory,
                   AtMs(1), AtMs(1));
  for (uint32_t caller = 2; caller < 20; ++caller)
    EXPECT_EQ(world.SendOpening(caller, AtMs(2)).upstream, 8U);
}

TEST(ColdStarts, TheLimitEndsWithTheColdStart) {
  cold_world world;
  EXPECT_EQ(world.SendOpening(1, AtMs(1999)).action, verdict_action::kDrop);
  EXPECT_EQ(world.SendOpening(1, AtMs(2200), 1).upstream, 7U);
  // The same incarnation, listed with the cold time of its registration.
  world.Learn(2s);
  EXPECT_EQ(world.SendOpening(2, AtMs(2300)).upstream, 7U);
}

TEST(ColdStarts, ARestartUnderTheSameIdNeedsNewGrants) {
  cold_world world;
  world.Cold().claim.phase = claim_phase::kHeld;
  EXPECT_EQ(world.SendOpening(1, AtMs(1)).upstream, 7U);
  upstream_entry restarted = MakeEntry(7);
  restarted.started_unix_ms = 5000;
  restarted.cold_remaining = 2s;
  world.ApplyList({restarted}, AtMs(2));
  EXPECT_EQ(world.SendOpening(2, AtMs(3)).action, verdict_action::kRefuse);
  UpdateColdStarts(world.state.starts, world.state.table, world.state.directory,
                   AtMs(3), AtMs(3));
  EXPECT_EQ(world.SendOpening(2, AtMs(4)).action, verdict_action::kDrop);
  EXPECT_EQ(world.Cold().claim.phase, claim_phase::kNone);
}

TEST(ColdStarts, AHolderOfAClaimPlacesAndGrantsWithinTheLimit) {
  cold_world world;
  world.Cold().claim.phase = claim_phase::kHeld;
  EXPECT_EQ(world.SendOpening(1, AtMs(1)).upstream, 7U);
  const grant_reply reply = AnswerRequest(
      world.state.starts, {.of = kRun, .id = 3, .openings = 9}, AtMs(2));
  EXPECT_EQ(reply.openings, 4U);
  EXPECT_EQ(world.SendOpening(2, AtMs(3)).action, verdict_action::kRefuse);
}

// A lookup finds the claim again after the rate was removed from the table and
// returned, but what was granted is forgotten: granting would exceed the limit.
TEST(ColdStarts, AClaimFoundAgainGrantsNothing) {
  cold_world world;
  cold_starts& starts = world.state.starts;
  ApplyClaimResult(starts, kRun, claim_result::kCreated, AtMs(1));
  EXPECT_EQ(
      AnswerRequest(starts, {.of = kRun, .openings = 5}, AtMs(2)).openings, 5U);
  const auto rates = std::exchange(world.state.table.start_rates, {});
  world.Learn(2s);
  ASSERT_TRUE(starts.upstreams.empty());
  world.state.table.start_rates = rates;
  world.Learn(2s);
  ApplyClaimResult(starts, kRun, claim_result::kUnknown, AtMs(5));
  ApplyClaimResult(starts, kRun, claim_result::kCreated, AtMs(6));
  EXPECT_EQ(world.Cold().claim.phase, claim_phase::kLost);
  EXPECT_EQ(
      AnswerRequest(starts, {.of = kRun, .openings = 5}, AtMs(7)).openings, 0U);
  EXPECT_EQ(starts.held_claims.size(), 1U);
}

TEST(ColdStarts, ASuspensionEndsAllGrants) {
  cold_world world;
  cold_starts& starts = world.state.starts;
  RecordUnmet(starts, 7, AtMs(10));
  const auto request = RequestGrant(starts, 7, AtMs(10));
  ApplyReply(starts, MakeReply(request->id, 1), AtMs(12));
  EndGrants(starts);
  EXPECT_EQ(world.SendOpening(1, AtMs(13)).action, verdict_action::kDrop);
}

TEST(ColdStarts, WithoutARateNothingChanges) {
  direct_world world({});
  upstream_entry cold = MakeEntry(7);
  cold.cold_remaining = 2s;
  world.ApplyList({cold}, AtMs(0));
  UpdateColdStarts(world.state.starts, world.state.table, world.state.directory,
                   AtMs(0), AtMs(0));
  const verdict placed = world.SendOpening(1, AtMs(1));
  EXPECT_EQ(placed.upstream, 7U);
  EXPECT_EQ(placed.wanted_start, 0U);
  EXPECT_TRUE(world.state.starts.upstreams.empty());
}

TEST(ColdStarts, MessagesKeepTheirValuesThroughTheCodec) {
  failure why;
  view_snapshot snapshot;
  snapshot.start_rates = {{kService, 5000, 2000}};
  for (const peer_message& message :
       std::vector<peer_message>{grant_request{{1, 2}, kRun, UINT64_MAX, 3},
                                 MakeReply(5, 6), snapshot}) {
    const auto frame = EncodeFrame(message, why);
    ASSERT_TRUE(frame);
    const auto decoded = DecodePayload(frame->substr(kFrameLengthBytes), why);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, message);
  }
}

}  // namespace
}  // namespace radishyard
