// Pools that move between balancers: no flow changes its upstream, no request
// runs twice.
#include <gtest/gtest.h>

#include <map>

#include "support/traffic_harness.h"

namespace radishyard {
namespace {

using bench = traffic_harness;

const std::string kText = "id=1\n";
byte_span Payload() {
  return {reinterpret_cast<const uint8_t*>(kText.data()), kText.size()};
}

packet_fields Tcp(const endpoint& from, const endpoint& to, uint8_t flags) {
  return {from, to, protocol::kTcp, flags, 200, 101};
}

packet_fields Order() {
  return {bench::kCaller, bench::kNonIdempotentUdp, protocol::kUdp, 0, 0, 0, 7,
          Payload()};
}

endpoint OpenFeed(bench& b, uint16_t caller_port) {
  const endpoint caller{bench::kCaller.address, caller_port};
  const auto opening =
      b.Deliver({caller, bench::kFeed, protocol::kTcp, kSyn, 100}, AtMs(1));
  const endpoint up = opening.at(0).View().destination;
  b.Deliver(Tcp(up, caller, kSyn | kAck), AtMs(2));
  return up;
}

// The old owner after the roster has named the peer; the new one while it still
// asks the old one.
void MoveToPeer(bench& from, bench& to) {
  from.rennes().role = pool_role::kNone;
  from.PublishView(AtMs(10));
  to.rennes().previous_owner = bench::kPeer;
  to.PublishView(AtMs(10));
}

TEST(TrafficMoves, TheOldOwnerSendsPacketsOnWithTheUpstream) {
  bench from;
  bench to;
  const endpoint up = OpenFeed(from, 1);
  MoveToPeer(from, to);
  const endpoint caller{bench::kCaller.address, 1};
  const auto sent = from.Deliver(Tcp(caller, bench::kFeed, kAck), AtMs(11));
  ASSERT_EQ(sent.size(), 1U);
  ASSERT_EQ(sent[0].forward->kind, forward_kind::kFromPreviousOwner);
  const auto out =
      to.Deliver(Tcp(caller, bench::kFeed, kAck), AtMs(12), sent[0].forward);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].View().destination, up);
}

TEST(TrafficMoves, ExportedFlowsKeepTheirUpstreamAndTheirCounts) {
  bench from;
  bench to;
  std::map<uint16_t, endpoint> upstream_of;
  for (uint16_t port = 1; port <= 500; ++port)
    upstream_of[port] = OpenFeed(from, port);
  MoveToPeer(from, to);
  EXPECT_EQ(from.core.owner().PoolsToHandOver(),
            (std::vector<pool_name>{from.rennes().name}));
  failure why;
  const auto bytes =
      EncodeFlows(from.core.owner().ExportFlows(from.rennes().name));
  EXPECT_LE(bytes.size(), 500U * 16);
  to.core.owner().ImportFlows(to.rennes().name, *DecodeFlows(bytes, why),
                              AtMs(12));
  from.core.owner().RemoveHandedOverFlows(from.rennes().name);
  EXPECT_TRUE(from.core.owner().PoolsToHandOver().empty());
  EXPECT_EQ(from.core.owner().OpenFlows(), 0U);
  to.rennes().previous_owner.reset();
  to.PublishView(AtMs(13));
  for (const auto& [port, up] : upstream_of) {
    const endpoint caller{bench::kCaller.address, port};
    EXPECT_EQ(to.Deliver(Tcp(caller, bench::kFeed, kAck), AtMs(14))
                  .at(0)
                  .View()
                  .destination,
              up);
  }
  const auto loads = to.core.owner().PoolLoads(AtMs(14));
  uint32_t connections = 0;
  for (const upstream_load& load : loads.at(0).load.upstreams)
    connections += load.connections;
  EXPECT_EQ(connections, 500U);
}

const endpoint kRequester{bench::kCaller.address, 7};

packet_fields FromRequester(uint8_t flags) {
  return Tcp(kRequester, bench::kRequest, flags);
}

// Opens a request flow, up to the caller's acknowledgement.
endpoint OpenRequest(bench& b) {
  const auto opening = b.Deliver(
      {kRequester, bench::kRequest, protocol::kTcp, kSyn, 100}, AtMs(1));
  const endpoint up = opening.at(0).View().destination;
  b.Deliver(Tcp(up, kRequester, kSyn | kAck), AtMs(2));
  b.Deliver(FromRequester(kAck), AtMs(3));
  return up;
}

void HandOver(bench& from, bench& to, time_point now) {
  to.core.owner().ImportFlows(
      to.rennes().name, from.core.owner().ExportFlows(from.rennes().name), now);
  from.core.owner().RemoveHandedOverFlows(from.rennes().name);
  to.rennes().previous_owner.reset();
  to.PublishView(now);
}

uint32_t Connections(const bench& b, time_point now) {
  const std::vector<served_pool_load> loads = b.core.owner().PoolLoads(now);
  uint32_t held = 0;
  for (const upstream_load& load : loads.at(0).load.upstreams)
    held += load.connections;
  return held;
}

TEST(TrafficMoves, AnEndThatTheOldOwnerSawComesWithTheRecord) {
  bench from;
  bench to;
  const endpoint up = OpenRequest(from);
  from.Deliver(Tcp(up, kRequester, kFin | kAck), AtMs(4));
  MoveToPeer(from, to);
  const auto passed = from.Deliver(FromRequester(kAck), AtMs(11));
  to.Deliver(FromRequester(kAck), AtMs(12), passed.at(0).forward);
  EXPECT_EQ(Connections(to, AtMs(12)), 1U) << "learned from the packet";
  HandOver(from, to, AtMs(13));
  to.Deliver(FromRequester(kFin | kAck), AtMs(14));
  EXPECT_EQ(Connections(to, AtMs(15)), 0U);
  EXPECT_EQ(to.core.owner().OpenFlows(), 0U);
}

TEST(TrafficMoves, AFlowThatEndedAtTheOldOwnerIsNotLearnedAnew) {
  bench from;
  bench to;
  const endpoint up = OpenRequest(from);
  from.Deliver(Tcp(up, kRequester, kFin | kAck), AtMs(4));
  from.Deliver(FromRequester(kFin | kAck), AtMs(5));
  MoveToPeer(from, to);
  HandOver(from, to, AtMs(12));
  const auto out = to.Deliver(
      FromRequester(kAck), AtMs(13),
      forward_option{forward_kind::kFromPreviousOwner, 1, 1, up.address, 0});
  EXPECT_EQ(out.size(), 1U) << "a late packet still passes";
  EXPECT_EQ(Connections(to, AtMs(14)), 0U);
  EXPECT_EQ(to.core.owner().OpenFlows(), 0U);
}

packet_fields Lookup() {
  return {bench::kCaller, bench::kIdempotentUdp, protocol::kUdp, 0, 0, 0, 7,
          Payload()};
}

packet_fields AnswerOf(const endpoint& up) {
  return {up, bench::kCaller, protocol::kUdp, 0, 0, 0, 8, Payload()};
}

// Found by ProcessKill.OwnerPausedPastItsLease: the owner woke after its
// successor had opened the flow, placed the opening a second time, and the
// caller's flow was reset.
TEST(TrafficMoves, APausedOwnerPlacesNothingThatItHeldBefore) {
  bench owner(1);
  for (uint16_t port = 1; port <= 3; ++port)
    owner.Deliver({{bench::kCaller.address, port},
                   bench::kRequest,
                   protocol::kTcp,
                   kSyn,
                   100},
                  AtMs(1));
  EXPECT_EQ(owner.core.owner().PoolLoads(AtMs(2)).at(0).load.waiting, 1U);
  owner.core.owner().ResumeAfterPause(AtMs(6000));
  for (int ms = 6000; ms < 8000; ms += 10)
    EXPECT_TRUE(owner.Tick(AtMs(ms)).empty());
  EXPECT_EQ(Connections(owner, AtMs(8000)), 0U);
  EXPECT_EQ(owner.core.owner().PoolLoads(AtMs(8000)).at(0).load.waiting, 0U);
}

// An answer takes several datagrams. Those that come after the owner was lost
// would be joined with the answer of the upstream that runs the repetition.
TEST(TrafficMoves, PartOfALostOwnersAnswerIsNotPassedOn) {
  bench lost;
  const endpoint up = lost.Deliver(Lookup(), AtMs(1)).at(0).View().destination;
  bench successor;
  EXPECT_TRUE(successor.Deliver(AnswerOf(up), AtMs(5)).empty());
  const auto again = successor.Deliver(Lookup(), AtMs(1000));
  ASSERT_EQ(again.size(), 1U);
  const endpoint next = again[0].View().destination;
  EXPECT_EQ(successor.Deliver(AnswerOf(next), AtMs(1005)).size(), 1U);
}

/// An ingress that believes all balancers dead that serve the pool.
struct lonely_ingress : bench {
  lonely_ingress() {
    rennes().role = pool_role::kNone;
    rennes().reachable = false;
    PublishView(AtMs(1));
  }
};

// Found by ProcessPlatform.AnswersAreLostAfterWrites: the FIN of an upstream
// passed a balancer that wrongly believed the owner dead, and the owner counted
// the flow for 300 s.
TEST(TrafficMoves, AnOwnerThatSeemsDeadIsToldOfTheEndOfAFlow) {
  bench owner;
  const endpoint up = OpenRequest(owner);
  lonely_ingress ingress;
  EXPECT_EQ(ingress.Deliver(Tcp(up, kRequester, kAck), AtMs(9)).size(), 1U);
  const auto sent = ingress.Deliver(Tcp(up, kRequester, kFin | kAck), AtMs(10));
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].to, bench::kPeer);
  EXPECT_EQ(sent[1].View().source, bench::kRequest) << "the caller has it";
  owner.Deliver(Tcp(up, kRequester, kFin | kAck), AtMs(11), sent[0].forward);
  EXPECT_EQ(Connections(owner, AtMs(12)), 0U);
}

TEST(TrafficMoves, AnOwnerThatSeemsDeadDecidesOnAnswersThatMayBeJoined) {
  bench owner;
  const endpoint up = owner.Deliver(Lookup(), AtMs(1)).at(0).View().destination;
  lonely_ingress ingress;
  const auto sent = ingress.Deliver(AnswerOf(up), AtMs(5));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].to, bench::kPeer);
  EXPECT_EQ(owner.Deliver(AnswerOf(up), AtMs(6), sent[0].forward).size(), 1U);
}

TEST(TrafficMoves, TheRestOfAnAnswerPassesTheNewOwnerAfterAHandOver) {
  bench from;
  bench to;
  const endpoint up = from.Deliver(Lookup(), AtMs(1)).at(0).View().destination;
  EXPECT_EQ(from.Deliver(AnswerOf(up), AtMs(5)).size(), 1U);
  MoveToPeer(from, to);
  HandOver(from, to, AtMs(12));
  EXPECT_EQ(to.Deliver(AnswerOf(up), AtMs(13)).size(), 1U);
  EXPECT_EQ(Connections(to, AtMs(14)), 0U);
}

// Both ends acknowledge the other's FIN; after a kill nobody knows the flow.
TEST(TrafficMoves, LateAcknowledgementsKeepNoFlowCounted) {
  bench to;
  const endpoint up = OpenRequest(to);
  bench fresh;
  fresh.Deliver(
      FromRequester(kAck), AtMs(10),
      forward_option{forward_kind::kFromPreviousOwner, 1, 1, up.address, 0});
  fresh.Deliver(Tcp(up, kRequester, kAck), AtMs(11));
  fresh.Deliver(FromRequester(kAck), AtMs(12));
  EXPECT_EQ(Connections(fresh, AtMs(13)), 1U);
  for (int ms = 20; ms < 8000; ms += 20) fresh.Tick(AtMs(ms));
  EXPECT_EQ(Connections(fresh, AtMs(8000)), 0U);
}

TEST(TrafficMoves, ACopyOfARequestThatRanAtTheOldOwnerIsNotPlacedByTheNew) {
  bench from;
  bench to;
  ASSERT_EQ(from.Deliver(Order(), AtMs(1)).size(), 1U);
  MoveToPeer(from, to);
  const auto asked = to.Deliver(Order(), AtMs(11));
  ASSERT_EQ(asked.size(), 1U);
  ASSERT_EQ(asked[0].forward->kind, forward_kind::kToPreviousOwner);
  EXPECT_TRUE(from.Deliver(Order(), AtMs(12), asked[0].forward).empty())
      << "the old owner knows the copy";
  to.core.owner().ImportFlows(to.rennes().name,
                              from.core.owner().ExportFlows(from.rennes().name),
                              AtMs(13));
  to.rennes().previous_owner.reset();
  to.PublishView(AtMs(14));
  EXPECT_TRUE(to.Deliver(Order(), AtMs(15)).empty())
      << "the digest came with the flows";
}

TEST(TrafficMoves, AWaitingOpeningMovesOnAtOnce) {
  bench from(1);
  const endpoint caller{bench::kCaller.address, 3};
  for (uint16_t port = 1; port <= 3; ++port) {
    from.Deliver({{bench::kCaller.address, port},
                  bench::kRequest,
                  protocol::kTcp,
                  kSyn,
                  100},
                 AtMs(1));
  }
  from.rennes().role = pool_role::kNone;
  from.PublishView(AtMs(10));
  const auto sent = from.sink.Take();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].to, bench::kPeer);
  EXPECT_EQ(sent[0].View().source, caller);
}

/// A balancer whose pool is full, with room reported in the other pool, to
/// which openings may be passed.
struct full_bench : bench {
  full_bench() : bench(1) {
    for (uint16_t port = 1; port <= 2; ++port) Deliver(Lookup(port), AtMs(1));
    vannes().reachable = true;
    PublishView(AtMs(2));
    core.owner().SetGrants({{}, {{vannes().name, 1}}});
  }
  static packet_fields Lookup(uint16_t caller_port) {
    return {{bench::kCaller.address, caller_port},
            bench::kIdempotentUdp,
            protocol::kUdp,
            0,
            0,
            0,
            7,
            Payload()};
  }
};

// Found by ProcessKill: what the previous owner had been asked for came back as
// if no one had passed it here, and went round between two balancers for
// seconds; all its copies then ran at once on one upstream.
TEST(TrafficMoves, APassedOpeningThatAskedThePreviousOwnerIsNotPassedAgain) {
  full_bench b;
  b.rennes().previous_owner = bench::kPeer;
  b.PublishView(AtMs(3));
  const auto asked =
      b.Deliver(full_bench::Lookup(3), AtMs(4),
                forward_option{forward_kind::kPassedOpening, 1, 1});
  ASSERT_EQ(asked.size(), 1U);
  ASSERT_EQ(asked[0].forward->kind, forward_kind::kToPreviousOwner);
  b.Deliver(full_bench::Lookup(3), AtMs(5),
            forward_option{forward_kind::kFromPreviousOwner, 3, 1});
  EXPECT_TRUE(b.Tick(AtMs(6)).empty());
}

TEST(TrafficMoves, OpeningsThatWereExchangedStayAtTheLowerTag) {
  full_bench b;
  b.Deliver(full_bench::Lookup(3), AtMs(4));
  const auto passed = b.Tick(AtMs(5));
  ASSERT_EQ(passed.size(), 1U);
  ASSERT_EQ(passed[0].forward->kind, forward_kind::kPassedOpening);
  const forward_option back{forward_kind::kPassedOpening, 1, 1};
  EXPECT_TRUE(b.Deliver(full_bench::Lookup(3), AtMs(100), back).empty());
  EXPECT_TRUE(b.Deliver(full_bench::Lookup(3), AtMs(101)).empty())
      << "waits here";
  const endpoint caller{bench::kCaller.address, 1};
  for (const uint32_t last : {1U, 2U}) {
    const endpoint from{0x0a1e0100 + last, bench::kIdempotentUdp.port};
    b.Deliver({from, caller, protocol::kUdp, 0, 0, 0, 1, Payload()}, AtMs(102));
    b.Deliver(
        {from, {caller.address, 2}, protocol::kUdp, 0, 0, 0, 1, Payload()},
        AtMs(102));
  }
  const auto placed = b.Tick(AtMs(103));
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].View().source.port, 3);
}

// Its copy would be placed a second time, and the caller reset one of the two.
TEST(TrafficMoves, ACopyOfAPassedSynFollowsIt) {
  full_bench b;
  const packet_fields syn{
      {bench::kCaller.address, 3}, bench::kRequest, protocol::kTcp, kSyn, 100};
  const forward_option here{forward_kind::kCallerToOwner, 1, 1};
  b.Deliver(syn, AtMs(4), here);
  ASSERT_EQ(b.Tick(AtMs(5)).size(), 1U);
  const auto copy = b.Deliver(syn, AtMs(6), here);
  ASSERT_EQ(copy.size(), 1U);
  EXPECT_EQ(copy[0].forward->kind, forward_kind::kPassedOpening);
  packet_fields another = syn;
  another.seq = 9000;
  EXPECT_TRUE(b.Deliver(another, AtMs(7), here).empty())
      << "another flow waits here";
}

TEST(TrafficMoves, AnOpeningThatGoesRoundIsDropped) {
  full_bench b;
  b.Deliver(full_bench::Lookup(3), AtMs(4));
  ASSERT_EQ(b.Tick(AtMs(5)).size(), 1U);
  b.rennes().tag = 9;  // Above that of the pool it was passed to.
  b.PublishView(AtMs(6));
  forward_option back{forward_kind::kPassedOpening, 1, 9};
  const auto followed = b.Deliver(full_bench::Lookup(3), AtMs(7), back);
  ASSERT_EQ(followed.size(), 1U);
  EXPECT_EQ(followed[0].forward->hops, 2);
  back.hops = kMaxHops;
  EXPECT_TRUE(b.Deliver(full_bench::Lookup(3), AtMs(8), back).empty());
}

// The pool to which the opening was passed asks the balancer that passed it.
TEST(TrafficMoves, APreviousOwnerThatPassedAnOpeningDoesNotKnowIt) {
  full_bench b;
  b.Deliver(full_bench::Lookup(3), AtMs(4));
  ASSERT_EQ(b.Tick(AtMs(5)).size(), 1U);
  const auto answer =
      b.Deliver(full_bench::Lookup(3), AtMs(6),
                forward_option{forward_kind::kToPreviousOwner, 2, 2});
  ASSERT_EQ(answer.size(), 1U);
  EXPECT_EQ(answer[0].forward->kind, forward_kind::kFromPreviousOwner);
}

TEST(TrafficMoves, TheStandbyLearnsFlowsThatLast) {
  bench owner;
  bench standby;
  const endpoint up = OpenFeed(owner, 1);
  const pool_name name = owner.rennes().name;
  EXPECT_TRUE(owner.core.owner()
                  .CollectFlowsForStandby(name, 2s, 10, AtMs(1000))
                  .empty());
  const auto told =
      owner.core.owner().CollectFlowsForStandby(name, 2s, 10, AtMs(3000));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_TRUE(owner.core.owner()
                  .CollectFlowsForStandby(name, 2s, 10, AtMs(4000))
                  .empty())
      << "told once";
  standby.core.RecordStandbyFlows({told, {}}, AtMs(3001));
  const auto out = standby.Deliver(
      Tcp({bench::kCaller.address, 1}, bench::kFeed, kAck), AtMs(5000));
  ASSERT_EQ(out.size(), 1U) << "taken over after the owner was lost";
  EXPECT_EQ(out[0].View().destination, up);
}

}  // namespace
}  // namespace radishyard
