// Tests pools that move between balancers: no flow changes its upstream, and no
// request is executed twice.
#include <gtest/gtest.h>

#include <map>

#include "support/traffic_harness.h"

namespace radishyard {
namespace {

using harness = traffic_harness;

const std::string kRequestText = "id=1\n";
byte_span Payload() {
  return {reinterpret_cast<const uint8_t*>(kRequestText.data()),
          kRequestText.size()};
}

packet_fields Tcp(const endpoint& source, const endpoint& destination,
                  uint8_t flags) {
  return {source, destination, protocol::kTcp, flags, 200, 101};
}

packet_fields NonIdempotentRequest() {
  return {
      harness::kCaller, harness::kNonIdempotentUdp, protocol::kUdp, 0, 0, 0, 7,
      Payload()};
}

endpoint OpenFeed(harness& balancer, uint16_t caller_port) {
  const endpoint caller{harness::kCaller.address, caller_port};
  const auto opening = balancer.Deliver(
      {caller, harness::kFeedAddress, protocol::kTcp, kSyn, 100}, AtMs(1));
  const endpoint upstream_endpoint = opening.at(0).View().destination;
  balancer.Deliver(Tcp(upstream_endpoint, caller, kSyn | kAck), AtMs(2));
  return upstream_endpoint;
}

// Publishes the views after a change of ownership: the previous owner sees the
// peer as owner, and the new owner still forwards unknown flows to the previous
// one.
void MoveOwnership(harness& previous_owner, harness& new_owner) {
  previous_owner.rennes().role = pool_role::kNone;
  previous_owner.PublishView(AtMs(10));
  new_owner.rennes().previous_owner = harness::kPeer;
  new_owner.PublishView(AtMs(10));
}

TEST(TrafficMoves, PreviousOwnerForwardsPacketsWithTheUpstream) {
  harness previous_owner;
  harness new_owner;
  const endpoint upstream_endpoint = OpenFeed(previous_owner, 1);
  MoveOwnership(previous_owner, new_owner);
  const endpoint caller{harness::kCaller.address, 1};
  const auto sent = previous_owner.Deliver(
      Tcp(caller, harness::kFeedAddress, kAck), AtMs(11));
  ASSERT_EQ(sent.size(), 1U);
  ASSERT_EQ(sent[0].forward->kind, forward_kind::kFromPreviousOwner);
  const auto out = new_owner.Deliver(Tcp(caller, harness::kFeedAddress, kAck),
                                     AtMs(12), sent[0].forward);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].View().destination, upstream_endpoint);
}

TEST(TrafficMoves, ExportedFlowsKeepTheirUpstreamAndTheirCounts) {
  harness previous_owner;
  harness new_owner;
  std::map<uint16_t, endpoint> upstream_of;
  for (uint16_t port = 1; port <= 500; ++port)
    upstream_of[port] = OpenFeed(previous_owner, port);
  MoveOwnership(previous_owner, new_owner);
  EXPECT_EQ(previous_owner.core.owner().PoolsToHandOver(),
            (std::vector<pool_name>{previous_owner.rennes().name}));
  failure why;
  const auto bytes = EncodeFlows(
      previous_owner.core.owner().ExportFlows(previous_owner.rennes().name));
  EXPECT_LE(bytes.size(), 500U * 16);
  new_owner.core.owner().ImportFlows(new_owner.rennes().name,
                                     *DecodeFlows(bytes, why), AtMs(12));
  previous_owner.core.owner().RemoveHandedOverFlows(
      previous_owner.rennes().name);
  EXPECT_TRUE(previous_owner.core.owner().PoolsToHandOver().empty());
  EXPECT_EQ(previous_owner.core.owner().OpenFlows(), 0U);
  new_owner.rennes().previous_owner.reset();
  new_owner.PublishView(AtMs(13));
  for (const auto& [port, upstream_endpoint] : upstream_of) {
    const endpoint caller{harness::kCaller.address, port};
    EXPECT_EQ(
        new_owner.Deliver(Tcp(caller, harness::kFeedAddress, kAck), AtMs(14))
            .at(0)
            .View()
            .destination,
        upstream_endpoint);
  }
  const auto loads = new_owner.core.owner().PoolLoads(AtMs(14));
  uint32_t connections = 0;
  for (const upstream_load& load : loads.at(0).load.upstreams)
    connections += load.connections;
  EXPECT_EQ(connections, 500U);
}

const endpoint kRequestCaller{harness::kCaller.address, 7};

packet_fields RequestPacket(uint8_t flags) {
  return Tcp(kRequestCaller, harness::kRequestAddress, flags);
}

// Opens a request flow up to the caller's acknowledgement of the SYN-ACK.
// \returns the endpoint of its upstream.
endpoint OpenRequest(harness& balancer) {
  const auto opening = balancer.Deliver(
      {kRequestCaller, harness::kRequestAddress, protocol::kTcp, kSyn, 100},
      AtMs(1));
  const endpoint upstream_endpoint = opening.at(0).View().destination;
  balancer.Deliver(Tcp(upstream_endpoint, kRequestCaller, kSyn | kAck),
                   AtMs(2));
  balancer.Deliver(RequestPacket(kAck), AtMs(3));
  return upstream_endpoint;
}

void HandOverFlows(harness& previous_owner, harness& new_owner,
                   time_point now) {
  new_owner.core.owner().ImportFlows(
      new_owner.rennes().name,
      previous_owner.core.owner().ExportFlows(previous_owner.rennes().name),
      now);
  previous_owner.core.owner().RemoveHandedOverFlows(
      previous_owner.rennes().name);
  new_owner.rennes().previous_owner.reset();
  new_owner.PublishView(now);
}

uint32_t ConnectionCount(const harness& balancer, time_point now) {
  const std::vector<served_pool_load> loads =
      balancer.core.owner().PoolLoads(now);
  uint32_t connections = 0;
  for (const upstream_load& load : loads.at(0).load.upstreams)
    connections += load.connections;
  return connections;
}

TEST(TrafficMoves, HandoverTransfersTheFinSeenByThePreviousOwner) {
  harness previous_owner;
  harness new_owner;
  const endpoint upstream_endpoint = OpenRequest(previous_owner);
  previous_owner.Deliver(Tcp(upstream_endpoint, kRequestCaller, kFin | kAck),
                         AtMs(4));
  MoveOwnership(previous_owner, new_owner);
  const auto passed = previous_owner.Deliver(RequestPacket(kAck), AtMs(11));
  new_owner.Deliver(RequestPacket(kAck), AtMs(12), passed.at(0).forward);
  EXPECT_EQ(ConnectionCount(new_owner, AtMs(12)), 1U)
      << "recorded from the packet";
  HandOverFlows(previous_owner, new_owner, AtMs(13));
  new_owner.Deliver(RequestPacket(kFin | kAck), AtMs(14));
  EXPECT_EQ(ConnectionCount(new_owner, AtMs(15)), 0U);
  EXPECT_EQ(new_owner.core.owner().OpenFlows(), 0U);
}

TEST(TrafficMoves, FlowThatEndedAtThePreviousOwnerIsNotOpenedAgain) {
  harness previous_owner;
  harness new_owner;
  const endpoint upstream_endpoint = OpenRequest(previous_owner);
  previous_owner.Deliver(Tcp(upstream_endpoint, kRequestCaller, kFin | kAck),
                         AtMs(4));
  previous_owner.Deliver(RequestPacket(kFin | kAck), AtMs(5));
  MoveOwnership(previous_owner, new_owner);
  HandOverFlows(previous_owner, new_owner, AtMs(12));
  const auto out =
      new_owner.Deliver(RequestPacket(kAck), AtMs(13),
                        forward_option{forward_kind::kFromPreviousOwner, 1, 1,
                                       upstream_endpoint.address, 0});
  EXPECT_EQ(out.size(), 1U) << "a late packet is still forwarded";
  EXPECT_EQ(ConnectionCount(new_owner, AtMs(14)), 0U);
  EXPECT_EQ(new_owner.core.owner().OpenFlows(), 0U);
}

packet_fields IdempotentRequest() {
  return {harness::kCaller, harness::kIdempotentUdp, protocol::kUdp, 0, 0, 0, 7,
          Payload()};
}

packet_fields ResponseFrom(const endpoint& upstream_endpoint) {
  return {upstream_endpoint, harness::kCaller, protocol::kUdp, 0, 0, 0, 8,
          Payload()};
}

// Guards against a reset of the caller's flow: an owner resumes after a pause,
// while its successor has opened the flow, and would place the opening a second
// time.
TEST(TrafficMoves, OwnerRemovesWaitingAndUnansweredOpeningsAfterAPause) {
  harness owner(1);
  for (uint16_t port = 1; port <= 3; ++port)
    owner.Deliver({{harness::kCaller.address, port},
                   harness::kRequestAddress,
                   protocol::kTcp,
                   kSyn,
                   100},
                  AtMs(1));
  EXPECT_EQ(owner.core.owner().PoolLoads(AtMs(2)).at(0).load.queued, 1U);
  owner.core.owner().ResumeAfterPause(AtMs(6000));
  for (int ms = 6000; ms < 8000; ms += 10)
    EXPECT_TRUE(owner.Tick(AtMs(ms)).empty());
  EXPECT_EQ(ConnectionCount(owner, AtMs(8000)), 0U);
  EXPECT_EQ(owner.core.owner().PoolLoads(AtMs(8000)).at(0).load.queued, 0U);
}

// A response consists of several datagrams. The caller would combine those that
// arrive after the loss of the owner with the response of the upstream that
// executes the retransmission.
TEST(TrafficMoves, SuccessorDropsPartOfAResponseToARequestOfTheLostOwner) {
  harness lost_owner;
  const endpoint upstream_endpoint =
      lost_owner.Deliver(IdempotentRequest(), AtMs(1)).at(0).View().destination;
  harness successor;
  EXPECT_TRUE(
      successor.Deliver(ResponseFrom(upstream_endpoint), AtMs(5)).empty());
  const auto retransmitted = successor.Deliver(IdempotentRequest(), AtMs(1000));
  ASSERT_EQ(retransmitted.size(), 1U);
  const endpoint next_upstream = retransmitted[0].View().destination;
  EXPECT_EQ(successor.Deliver(ResponseFrom(next_upstream), AtMs(1005)).size(),
            1U);
}

/// An ingress in whose view no balancer that serves the pool is alive.
struct ingress_without_owner : harness {
  ingress_without_owner() {
    rennes().role = pool_role::kNone;
    rennes().reachable = false;
    PublishView(AtMs(1));
  }
};

// Guards against flows that stay counted for the idle timeout of 300 s: the FIN
// of an upstream arrives at a balancer that wrongly considers the owner
// unreachable, and must still reach the owner.
TEST(TrafficMoves, UnreachableOwnerReceivesTheEndOfAFlow) {
  harness owner;
  const endpoint upstream_endpoint = OpenRequest(owner);
  ingress_without_owner ingress;
  EXPECT_EQ(
      ingress.Deliver(Tcp(upstream_endpoint, kRequestCaller, kAck), AtMs(9))
          .size(),
      1U);
  const auto sent = ingress.Deliver(
      Tcp(upstream_endpoint, kRequestCaller, kFin | kAck), AtMs(10));
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].to, harness::kPeer);
  EXPECT_EQ(sent[1].View().source, harness::kRequestAddress)
      << "the packet is forwarded to the caller too";
  owner.Deliver(Tcp(upstream_endpoint, kRequestCaller, kFin | kAck), AtMs(11),
                sent[0].forward);
  EXPECT_EQ(ConnectionCount(owner, AtMs(12)), 0U);
}

TEST(TrafficMoves, UnreachableOwnerForwardsResponsesToIdempotentRequests) {
  harness owner;
  const endpoint upstream_endpoint =
      owner.Deliver(IdempotentRequest(), AtMs(1)).at(0).View().destination;
  ingress_without_owner ingress;
  const auto sent = ingress.Deliver(ResponseFrom(upstream_endpoint), AtMs(5));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].to, harness::kPeer);
  EXPECT_EQ(
      owner.Deliver(ResponseFrom(upstream_endpoint), AtMs(6), sent[0].forward)
          .size(),
      1U);
}

TEST(TrafficMoves, NewOwnerForwardsTheRestOfAResponseAfterAHandover) {
  harness previous_owner;
  harness new_owner;
  const endpoint upstream_endpoint =
      previous_owner.Deliver(IdempotentRequest(), AtMs(1))
          .at(0)
          .View()
          .destination;
  EXPECT_EQ(
      previous_owner.Deliver(ResponseFrom(upstream_endpoint), AtMs(5)).size(),
      1U);
  MoveOwnership(previous_owner, new_owner);
  HandOverFlows(previous_owner, new_owner, AtMs(12));
  EXPECT_EQ(new_owner.Deliver(ResponseFrom(upstream_endpoint), AtMs(13)).size(),
            1U);
  EXPECT_EQ(ConnectionCount(new_owner, AtMs(14)), 0U);
}

// After the loss of an owner no balancer has a record of the flow when both
// sides acknowledge the FIN of the other.
TEST(TrafficMoves, LateAcknowledgementsDoNotKeepAFlowCounted) {
  harness lost_owner;
  const endpoint upstream_endpoint = OpenRequest(lost_owner);
  harness successor;
  successor.Deliver(RequestPacket(kAck), AtMs(10),
                    forward_option{forward_kind::kFromPreviousOwner, 1, 1,
                                   upstream_endpoint.address, 0});
  successor.Deliver(Tcp(upstream_endpoint, kRequestCaller, kAck), AtMs(11));
  successor.Deliver(RequestPacket(kAck), AtMs(12));
  EXPECT_EQ(ConnectionCount(successor, AtMs(13)), 1U);
  for (int ms = 20; ms < 8000; ms += 20) successor.Tick(AtMs(ms));
  EXPECT_EQ(ConnectionCount(successor, AtMs(8000)), 0U);
}

TEST(TrafficMoves, NewOwnerDropsADuplicateOfARequestPlacedByThePreviousOwner) {
  harness previous_owner;
  harness new_owner;
  ASSERT_EQ(previous_owner.Deliver(NonIdempotentRequest(), AtMs(1)).size(), 1U);
  MoveOwnership(previous_owner, new_owner);
  const auto forwarded = new_owner.Deliver(NonIdempotentRequest(), AtMs(11));
  ASSERT_EQ(forwarded.size(), 1U);
  ASSERT_EQ(forwarded[0].forward->kind, forward_kind::kToPreviousOwner);
  EXPECT_TRUE(
      previous_owner
          .Deliver(NonIdempotentRequest(), AtMs(12), forwarded[0].forward)
          .empty())
      << "the previous owner detects the duplicate";
  new_owner.core.owner().ImportFlows(
      new_owner.rennes().name,
      previous_owner.core.owner().ExportFlows(previous_owner.rennes().name),
      AtMs(13));
  new_owner.rennes().previous_owner.reset();
  new_owner.PublishView(AtMs(14));
  EXPECT_TRUE(new_owner.Deliver(NonIdempotentRequest(), AtMs(15)).empty())
      << "the digest was handed over with the flows";
}

// A balancer that takes its peer for the owner of the pool, and receives a
// packet that the peer has forwarded to it as the owner.
struct returned_packet_harness : harness {
  returned_packet_harness() {
    rennes().role = pool_role::kNone;
    PublishView(AtMs(1));
  }
  std::vector<sent_packet> DeliverReturned(const packet_fields& fields,
                                           uint8_t hops, time_point now) {
    return Deliver(
        fields, now,
        forward_option{forward_kind::kCallerToOwner, hops, rennes().tag});
  }
  void ReceiveRoster(time_point now) {
    rennes().role = pool_role::kOwner;
    PublishView(now);
  }
};

// Until the new owner has received the roster, the previous owner and the new
// one consider each other the owner. They sent a datagram to each other up to
// the hop limit and dropped it, so that a non-idempotent request got no
// response.
TEST(TrafficMoves, RequestReturnedByItsOwnerWaitsForTheRoster) {
  returned_packet_harness new_owner;
  EXPECT_TRUE(
      new_owner.DeliverReturned(NonIdempotentRequest(), 2, AtMs(2)).empty());
  EXPECT_TRUE(new_owner.Tick(AtMs(20)).empty());
  new_owner.ReceiveRoster(AtMs(30));
  const auto placed = new_owner.Tick(AtMs(70));
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].to.port, 0) << "it is sent to an upstream";
}

// The balancer that waits may be the one with the newer roster.
TEST(TrafficMoves, RequestReturnedByItsOwnerIsSentBackAfterAWait) {
  returned_packet_harness balancer;
  EXPECT_EQ(balancer.DeliverReturned(NonIdempotentRequest(), 1, AtMs(2)).size(),
            1U)
      << "the ingress that sent it may have received the roster by now";
  balancer.DeliverReturned(NonIdempotentRequest(), 2, AtMs(3));
  EXPECT_TRUE(balancer.Tick(AtMs(20)).empty());
  const auto sent_back = balancer.Tick(AtMs(70));
  ASSERT_EQ(sent_back.size(), 1U);
  EXPECT_EQ(sent_back[0].to, harness::kPeer);
  EXPECT_EQ(sent_back[0].forward->hops, 3);
}

// The response to a request that was executed was dropped as well.
TEST(TrafficMoves, ResponseReturnedByItsOwnerWaitsForTheRoster) {
  for (const endpoint& service :
       {harness::kNonIdempotentUdp, harness::kIdempotentUdp}) {
    returned_packet_harness new_owner;
    const packet_fields response{{0x0a1e0101, service.port},
                                 harness::kCaller,
                                 protocol::kUdp,
                                 0,
                                 0,
                                 0,
                                 7,
                                 Payload()};
    EXPECT_TRUE(new_owner.DeliverReturned(response, 3, AtMs(2)).empty());
    new_owner.ReceiveRoster(AtMs(10));
    EXPECT_EQ(new_owner.Tick(AtMs(60)).size(), service.port == 7002 ? 1U : 0U)
        << "of a response to an idempotent request, parts may be lost";
  }
}

// Callers retransmit these; a copy that waited could be executed a second time.
TEST(TrafficMoves, RetransmittedPacketsReturnedByTheirOwnerDoNotWait) {
  returned_packet_harness balancer;
  const packet_fields syn{harness::kCaller, harness::kFeedAddress,
                          protocol::kTcp, kSyn, 100};
  EXPECT_EQ(balancer.DeliverReturned(syn, 2, AtMs(2)).size(), 1U);
  const packet_fields request{
      harness::kCaller, harness::kIdempotentUdp, protocol::kUdp, 0, 0, 0, 7,
      Payload()};
  EXPECT_EQ(balancer.DeliverReturned(request, 2, AtMs(2)).size(), 1U);
}

TEST(TrafficMoves, QueuedOpeningIsSentToTheNewOwnerAtOnce) {
  harness previous_owner(1);
  const endpoint caller{harness::kCaller.address, 3};
  for (uint16_t port = 1; port <= 3; ++port) {
    previous_owner.Deliver({{harness::kCaller.address, port},
                            harness::kRequestAddress,
                            protocol::kTcp,
                            kSyn,
                            100},
                           AtMs(1));
  }
  previous_owner.rennes().role = pool_role::kNone;
  previous_owner.PublishView(AtMs(10));
  const auto sent = previous_owner.sink.TakeSent();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].to, harness::kPeer);
  EXPECT_EQ(sent[0].View().source, caller);
}

/// A balancer whose pool has no free slot. The other pool has reported one, so
/// openings may be passed to it.
struct full_pool_harness : harness {
  full_pool_harness() : harness(1) {
    for (uint16_t port = 1; port <= 2; ++port)
      Deliver(IdempotentRequest(port), AtMs(1));
    vannes().reachable = true;
    PublishView(AtMs(2));
    core.owner().SetGrants({{}, {{vannes().name, 1}}});
  }
  static packet_fields IdempotentRequest(uint16_t caller_port) {
    return {{harness::kCaller.address, caller_port},
            harness::kIdempotentUdp,
            protocol::kUdp,
            0,
            0,
            0,
            7,
            Payload()};
  }
};

// Guards against openings that circulate: an opening that was passed here and
// comes back from the previous owner does not show that it was passed. It would
// be passed on between two balancers for seconds, and all its copies would then
// be executed at once on one upstream.
TEST(TrafficMoves, OpeningReturnedByThePreviousOwnerIsNotPassedAgain) {
  full_pool_harness balancer;
  balancer.rennes().previous_owner = harness::kPeer;
  balancer.PublishView(AtMs(3));
  const auto forwarded =
      balancer.Deliver(full_pool_harness::IdempotentRequest(3), AtMs(4),
                       forward_option{forward_kind::kPassedOpening, 1, 1});
  ASSERT_EQ(forwarded.size(), 1U);
  ASSERT_EQ(forwarded[0].forward->kind, forward_kind::kToPreviousOwner);
  balancer.Deliver(full_pool_harness::IdempotentRequest(3), AtMs(5),
                   forward_option{forward_kind::kFromPreviousOwner, 3, 1});
  EXPECT_TRUE(balancer.Tick(AtMs(6)).empty());
}

TEST(TrafficMoves, ExchangedOpeningStaysInThePoolWithTheLowerTag) {
  full_pool_harness balancer;
  balancer.Deliver(full_pool_harness::IdempotentRequest(3), AtMs(4));
  const auto passed = balancer.Tick(AtMs(5));
  ASSERT_EQ(passed.size(), 1U);
  ASSERT_EQ(passed[0].forward->kind, forward_kind::kPassedOpening);
  const forward_option passed_back{forward_kind::kPassedOpening, 1, 1};
  EXPECT_TRUE(balancer
                  .Deliver(full_pool_harness::IdempotentRequest(3), AtMs(100),
                           passed_back)
                  .empty());
  EXPECT_TRUE(
      balancer.Deliver(full_pool_harness::IdempotentRequest(3), AtMs(101))
          .empty())
      << "it waits in this pool";
  const endpoint caller{harness::kCaller.address, 1};
  for (const uint32_t last : {1U, 2U}) {
    const endpoint responder{0x0a1e0100 + last, harness::kIdempotentUdp.port};
    balancer.Deliver({responder, caller, protocol::kUdp, 0, 0, 0, 1, Payload()},
                     AtMs(102));
    balancer.Deliver(
        {responder, {caller.address, 2}, protocol::kUdp, 0, 0, 0, 1, Payload()},
        AtMs(102));
  }
  const auto placed = balancer.Tick(AtMs(103));
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].View().source.port, 3);
}

// If a copy of a passed SYN were placed here, there would be two connections,
// of which the caller would reset one.
TEST(TrafficMoves, CopyOfAPassedSynIsForwardedToTheSamePool) {
  full_pool_harness balancer;
  const packet_fields syn{{harness::kCaller.address, 3},
                          harness::kRequestAddress,
                          protocol::kTcp,
                          kSyn,
                          100};
  const forward_option to_this_pool{forward_kind::kCallerToOwner, 1, 1};
  balancer.Deliver(syn, AtMs(4), to_this_pool);
  ASSERT_EQ(balancer.Tick(AtMs(5)).size(), 1U);
  const auto copy = balancer.Deliver(syn, AtMs(6), to_this_pool);
  ASSERT_EQ(copy.size(), 1U);
  EXPECT_EQ(copy[0].forward->kind, forward_kind::kPassedOpening);
  packet_fields other_flow_syn = syn;
  other_flow_syn.seq = 9000;
  EXPECT_TRUE(balancer.Deliver(other_flow_syn, AtMs(7), to_this_pool).empty())
      << "the other flow waits in this pool";
}

TEST(TrafficMoves, CirculatingOpeningIsDroppedAtTheHopLimit) {
  full_pool_harness balancer;
  balancer.Deliver(full_pool_harness::IdempotentRequest(3), AtMs(4));
  ASSERT_EQ(balancer.Tick(AtMs(5)).size(), 1U);
  balancer.rennes().tag =
      9;  // Above the tag of the pool to which it was passed.
  balancer.PublishView(AtMs(6));
  forward_option passed_back{forward_kind::kPassedOpening, 1, 9};
  const auto followed = balancer.Deliver(
      full_pool_harness::IdempotentRequest(3), AtMs(7), passed_back);
  ASSERT_EQ(followed.size(), 1U);
  EXPECT_EQ(followed[0].forward->hops, 2);
  passed_back.hops = kMaxHops;
  EXPECT_TRUE(balancer
                  .Deliver(full_pool_harness::IdempotentRequest(3), AtMs(8),
                           passed_back)
                  .empty());
}

// The balancer that passed the opening is also the previous owner of the pool
// to which it was passed, and receives the opening as such.
TEST(TrafficMoves, PreviousOwnerReturnsAnOpeningThatItPassed) {
  full_pool_harness balancer;
  balancer.Deliver(full_pool_harness::IdempotentRequest(3), AtMs(4));
  ASSERT_EQ(balancer.Tick(AtMs(5)).size(), 1U);
  const auto returned =
      balancer.Deliver(full_pool_harness::IdempotentRequest(3), AtMs(6),
                       forward_option{forward_kind::kToPreviousOwner, 2, 2});
  ASSERT_EQ(returned.size(), 1U);
  EXPECT_EQ(returned[0].forward->kind, forward_kind::kFromPreviousOwner);
}

TEST(TrafficMoves, StandbyRecordsLongLivedFlows) {
  harness owner;
  harness standby;
  const endpoint upstream_endpoint = OpenFeed(owner, 1);
  const pool_name name = owner.rennes().name;
  EXPECT_TRUE(owner.core.owner()
                  .CollectFlowsForStandby(name, 2s, 10, AtMs(1000))
                  .empty());
  const auto reported =
      owner.core.owner().CollectFlowsForStandby(name, 2s, 10, AtMs(3000));
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_TRUE(owner.core.owner()
                  .CollectFlowsForStandby(name, 2s, 10, AtMs(4000))
                  .empty())
      << "each flow is reported once";
  standby.core.RecordStandbyFlows({reported, {}}, AtMs(3001));
  const auto out = standby.Deliver(
      Tcp({harness::kCaller.address, 1}, harness::kFeedAddress, kAck),
      AtMs(5000));
  ASSERT_EQ(out.size(), 1U) << "forwarded after the owner was lost";
  EXPECT_EQ(out[0].View().destination, upstream_endpoint);
}

}  // namespace
}  // namespace radishyard
