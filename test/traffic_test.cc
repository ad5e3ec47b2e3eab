// Tests the packet path of one balancer: placement of flows, forwarding on the
// chosen upstream, the end of flows, refusals, and the handling of duplicates.
#include <gtest/gtest.h>

#include "support/traffic_harness.h"

namespace radishyard {
namespace {

using harness = traffic_harness;

const std::string kRequestText = "id=1\n";
byte_span Payload() {
  return {reinterpret_cast<const uint8_t*>(kRequestText.data()),
          kRequestText.size()};
}

packet_fields Syn(const endpoint& to,
                  uint16_t caller_port = harness::kCaller.port) {
  return {
      {harness::kCaller.address, caller_port}, to, protocol::kTcp, kSyn, 100};
}

packet_fields Tcp(const endpoint& source, const endpoint& destination,
                  uint8_t flags) {
  return {source, destination, protocol::kTcp, flags, 200, 101};
}

packet_fields NonIdempotentRequest(
    uint16_t caller_port = harness::kCaller.port) {
  return {{harness::kCaller.address, caller_port},
          harness::kNonIdempotentUdp,
          protocol::kUdp,
          0,
          0,
          0,
          7,
          Payload()};
}

packet_fields IdempotentRequest() {
  return {harness::kCaller, harness::kIdempotentUdp, protocol::kUdp, 0, 0, 0, 7,
          Payload()};
}

// Opens a TCP flow up to the SYN-ACK.
// \returns the endpoint of its upstream.
endpoint OpenFlow(harness& balancer, const endpoint& service, time_point now,
                  uint16_t caller_port = harness::kCaller.port) {
  const auto opening = balancer.Deliver(Syn(service, caller_port), now);
  EXPECT_EQ(opening.size(), 1U);
  const endpoint upstream_endpoint = opening.at(0).View().destination;
  balancer.Deliver(Tcp(upstream_endpoint,
                       {harness::kCaller.address, caller_port}, kSyn | kAck),
                   now);
  return upstream_endpoint;
}

TEST(Traffic, PlacesAFlowAndSendsResponsesFromTheServiceEndpoint) {
  harness balancer;
  const auto opening = balancer.Deliver(Syn(harness::kFeedAddress), AtMs(1));
  ASSERT_EQ(opening.size(), 1U);
  const endpoint upstream_endpoint = opening[0].View().destination;
  EXPECT_EQ(opening[0].View().source, harness::kCaller);
  const auto response = balancer.Deliver(
      Tcp(upstream_endpoint, harness::kCaller, kSyn | kAck), AtMs(2));
  ASSERT_EQ(response.size(), 1U);
  EXPECT_EQ(response[0].View().source, harness::kFeedAddress);
  const auto data = balancer.Deliver(
      Tcp(harness::kCaller, harness::kFeedAddress, kAck), AtMs(3));
  ASSERT_EQ(data.size(), 1U);
  EXPECT_EQ(data[0].View().destination, upstream_endpoint);
}

TEST(Traffic, DropsALateResponseToAnEarlierPlacement) {
  harness balancer;
  const endpoint first_upstream =
      balancer.Deliver(Syn(harness::kFeedAddress), AtMs(1))
          .at(0)
          .View()
          .destination;
  for (uint16_t port = 1; port <= 20; ++port)
    OpenFlow(balancer, harness::kFeedAddress, AtMs(1),
             port);  // Fills the retry budget.
  const auto retry = balancer.Tick(AtMs(400));
  ASSERT_EQ(retry.size(), 1U) << "the unanswered opening is placed again";
  ASSERT_NE(retry[0].View().destination, first_upstream);
  EXPECT_TRUE(balancer
                  .Deliver(Tcp(first_upstream, harness::kCaller, kSyn | kAck),
                           AtMs(401))
                  .empty());
  EXPECT_EQ(balancer
                .Deliver(Tcp(retry[0].View().destination, harness::kCaller,
                             kSyn | kAck),
                         AtMs(402))
                .size(),
            1U);
}

// A balancer that wrongly considers the owner unreachable has forwarded the
// SYN-ACK to the caller. The owner abandons its opening when the caller sends
// the next packet, and must then use the upstream that another balancer
// reports, even if it is the same one.
TEST(Traffic, FollowsTheReportedUpstreamAfterAbandoningItsOpening) {
  harness balancer;
  const endpoint caller{harness::kCaller.address, 1};
  const endpoint upstream_endpoint =
      balancer.Deliver(Syn(harness::kFeedAddress, 1), AtMs(1))
          .at(0)
          .View()
          .destination;
  balancer.Deliver(Tcp(caller, harness::kFeedAddress, kAck), AtMs(5));
  const auto sent =
      balancer.Deliver(Tcp(caller, harness::kFeedAddress, kAck), AtMs(6),
                       forward_option{forward_kind::kCallerToOwner, 1, 1,
                                      upstream_endpoint.address});
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].View().destination, upstream_endpoint);
}

TEST(Traffic, QueuesAnOpeningUntilASlotIsReleased) {
  harness balancer(1);
  const endpoint upstream_endpoint =
      OpenFlow(balancer, harness::kRequestAddress, AtMs(1), 1);
  OpenFlow(balancer, harness::kRequestAddress, AtMs(1), 2);
  EXPECT_TRUE(
      balancer.Deliver(Syn(harness::kRequestAddress, 3), AtMs(2)).empty())
      << "both slots are in use";
  balancer.Deliver(
      Tcp(upstream_endpoint, {harness::kCaller.address, 1}, kFin | kAck),
      AtMs(20));
  const auto placed = balancer.Tick(AtMs(21));
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].View().destination, upstream_endpoint);
}

TEST(Traffic, RefusesAnOpeningThatWaitsTooLongWithAReset) {
  harness balancer(1);
  OpenFlow(balancer, harness::kRequestAddress, AtMs(1), 1);
  OpenFlow(balancer, harness::kRequestAddress, AtMs(1), 2);
  balancer.Deliver(Syn(harness::kRequestAddress, 3), AtMs(2));
  const auto refusal = balancer.Tick(AtMs(600));
  ASSERT_EQ(refusal.size(), 1U);
  EXPECT_TRUE(refusal[0].View().Has(kRst));
  EXPECT_EQ(refusal[0].View().destination.port, 3);
}

TEST(Traffic, PlacesANonIdempotentRequestOnceDespiteDuplicates) {
  harness balancer;
  EXPECT_EQ(balancer.Deliver(NonIdempotentRequest(), AtMs(1)).size(), 1U);
  EXPECT_TRUE(balancer.Deliver(NonIdempotentRequest(), AtMs(2)).empty());
  balancer.Deliver({{0x0a1e0101, 7002},
                    harness::kCaller,
                    protocol::kUdp,
                    0,
                    0,
                    0,
                    1,
                    Payload()},
                   AtMs(3));
  balancer.Deliver({{0x0a1e0102, 7002},
                    harness::kCaller,
                    protocol::kUdp,
                    0,
                    0,
                    0,
                    1,
                    Payload()},
                   AtMs(3));
  EXPECT_TRUE(balancer.Deliver(NonIdempotentRequest(), AtMs(50)).empty())
      << "a duplicate that arrives after the response";
}

// A retransmitted idempotent request is placed again, but only once: the caller
// would combine parts of the responses to two executions.
TEST(Traffic, PlacesARetransmissionButDropsItsDuplicate) {
  harness balancer;
  const packet_fields request = IdempotentRequest();
  EXPECT_EQ(balancer.Deliver(request, AtMs(1)).size(), 1U);
  EXPECT_TRUE(balancer.Deliver(request, AtMs(20)).empty());
  EXPECT_EQ(balancer.Deliver(request, AtMs(1001)).size(), 1U);
  EXPECT_TRUE(balancer.Deliver(request, AtMs(1020)).empty());
  EXPECT_EQ(balancer.Deliver(request, AtMs(2001)).size(), 1U);
}

// Guards against a response combined from two upstreams: the caller has
// received a part of a response through a balancer that was paused then, and
// its retransmission is placed on another upstream.
TEST(Traffic, PlacesARetransmissionOnTheUpstreamThatResponded) {
  harness balancer;
  const packet_fields request = IdempotentRequest();
  const endpoint first_upstream =
      balancer.Deliver(request, AtMs(1)).at(0).View().destination;
  balancer.Deliver(
      {first_upstream, harness::kCaller, protocol::kUdp, 0, 0, 0, 1, Payload()},
      AtMs(5));
  // The other upstream has less load now.
  ASSERT_EQ(OpenFlow(balancer, harness::kRequestAddress, AtMs(6), 1).address,
            first_upstream.address);
  const auto retransmitted = balancer.Deliver(request, AtMs(1001));
  ASSERT_EQ(retransmitted.size(), 1U);
  EXPECT_EQ(retransmitted[0].View().destination, first_upstream);
}

// The retransmissions in between were lost. The record of the flow was removed
// 2 s after the response, so that the next one came to another upstream.
TEST(Traffic, KeepsTheUpstreamThatRespondedAsLongAsCallersRetransmit) {
  harness balancer;
  const packet_fields request = IdempotentRequest();
  const endpoint first_upstream =
      balancer.Deliver(request, AtMs(1)).at(0).View().destination;
  balancer.Deliver(
      {first_upstream, harness::kCaller, protocol::kUdp, 0, 0, 0, 1, Payload()},
      AtMs(5));
  const auto last_retry = static_cast<int>(ToMs(kCallerRetryWindow)) - 1;
  for (int ms = 10; ms < last_retry; ms += 10) balancer.Tick(AtMs(ms));
  // The other upstream has less load now.
  ASSERT_EQ(
      OpenFlow(balancer, harness::kRequestAddress, AtMs(last_retry - 1), 1)
          .address,
      first_upstream.address);
  const auto retransmitted = balancer.Deliver(request, AtMs(last_retry));
  ASSERT_EQ(retransmitted.size(), 1U);
  EXPECT_EQ(retransmitted[0].View().destination, first_upstream);
  balancer.Deliver(
      {first_upstream, harness::kCaller, protocol::kUdp, 0, 0, 0, 1, Payload()},
      AtMs(last_retry + 5));
  for (int ms = 10'000; ms < 23'000; ms += 10) balancer.Tick(AtMs(ms));
  EXPECT_FALSE(balancer.core.owner().flows().Find(
      {harness::kCaller, harness::kIdempotentUdp, protocol::kUdp}))
      << "the record is removed in the end";
}

TEST(Traffic, DropsRetransmissionsUntilTheUpstreamThatRespondedHasRoom) {
  harness balancer(1);
  const packet_fields request = IdempotentRequest();
  const endpoint first_upstream =
      balancer.Deliver(request, AtMs(1)).at(0).View().destination;
  const packet_fields response{
      first_upstream, harness::kCaller, protocol::kUdp, 0, 0, 0, 1, Payload()};
  balancer.Deliver(response, AtMs(5));
  EXPECT_TRUE(balancer.Deliver(request, AtMs(6)).empty()) << "a duplicate";
  const endpoint slot_holder =
      OpenFlow(balancer, harness::kRequestAddress, AtMs(7), 1);
  ASSERT_EQ(slot_holder.address, first_upstream.address);
  // Another request from the same port may be placed on the other upstream.
  const std::string other_request_text = "id=2\n";
  packet_fields other_request = request;
  other_request.payload = {
      reinterpret_cast<const uint8_t*>(other_request_text.data()),
      other_request_text.size()};
  harness other_balancer(1);
  other_balancer.Deliver(request, AtMs(1));
  other_balancer.Deliver(response, AtMs(5));
  OpenFlow(other_balancer, harness::kRequestAddress, AtMs(7), 1);
  EXPECT_EQ(other_balancer.Deliver(other_request, AtMs(1001)).size(), 1U);
  for (const int64_t at : {1001, 2001, 3001}) {
    EXPECT_TRUE(balancer.Deliver(request, AtMs(at)).empty());
    balancer.Tick(AtMs(at + 999));
  }
  const endpoint caller{harness::kCaller.address, 1};
  balancer.Deliver({slot_holder, caller, protocol::kTcp, kFin | kAck, 300, 101},
                   AtMs(4000));
  const auto retransmitted = balancer.Deliver(request, AtMs(4001));
  ASSERT_EQ(retransmitted.size(), 1U);
  EXPECT_EQ(retransmitted[0].View().destination, first_upstream);
}

TEST(Traffic, DefersNonIdempotentRequestsWithoutALease) {
  harness balancer;
  balancer.GrantLease(AtMs(1000));
  EXPECT_EQ(balancer.Deliver(NonIdempotentRequest(1), AtMs(999)).size(), 1U);
  EXPECT_TRUE(balancer.Deliver(NonIdempotentRequest(2), AtMs(1000)).empty())
      << "the lease has expired";
  balancer.rennes().role = pool_role::kSubstitute;
  balancer.GrantLease(AtMs(9000));
  balancer.PublishView(AtMs(1001));
  EXPECT_TRUE(balancer.Deliver(NonIdempotentRequest(3), AtMs(1002)).empty())
      << "an acting owner places no non-idempotent requests";
  EXPECT_EQ(balancer.Deliver(Syn(harness::kFeedAddress), AtMs(1003)).size(), 1U)
      << "an acting owner places TCP openings";
}

TEST(Traffic, IngressForwardsByRendezvousAndByRecordedUpstream) {
  harness balancer;
  balancer.rennes().role = pool_role::kNone;
  balancer.PublishView(AtMs(0));
  const auto forwarded = balancer.Deliver(Syn(harness::kFeedAddress), AtMs(1));
  ASSERT_EQ(forwarded.size(), 1U);
  EXPECT_EQ(forwarded[0].to, harness::kPeer);
  EXPECT_EQ(forwarded[0].forward->kind, forward_kind::kCallerToOwner);
  balancer.Deliver(Tcp({0x0a1e0102, 7000}, harness::kCaller, kSyn | kAck),
                   AtMs(2));  // The ingress records the upstream.
  const auto data = balancer.Deliver(
      Tcp(harness::kCaller, harness::kFeedAddress, kAck), AtMs(3));
  ASSERT_EQ(data.size(), 1U);
  EXPECT_EQ(data[0].forward->upstream, 0x0a1e0102U);
}

TEST(Traffic, NewOwnerRecordsFlowsFromResponsesReportedUpstreamsAndLookups) {
  harness balancer;
  const endpoint upstream_endpoint{0x0a1e0102, 7000};
  balancer.Deliver(Tcp(upstream_endpoint, harness::kCaller, kAck), AtMs(1));
  EXPECT_EQ(
      balancer
          .Deliver(Tcp(harness::kCaller, harness::kFeedAddress, kAck), AtMs(2))
          .at(0)
          .View()
          .destination,
      upstream_endpoint);

  const endpoint other_caller{harness::kCaller.address, 41000};
  const auto forwarded =
      balancer.Deliver(Tcp(other_caller, harness::kFeedAddress, kAck), AtMs(3),
                       forward_option{forward_kind::kCallerToOwner, 1, 1,
                                      upstream_endpoint.address});
  EXPECT_EQ(forwarded.at(0).View().destination, upstream_endpoint);

  const endpoint third_caller{harness::kCaller.address, 42000};
  const auto lookup =
      balancer.Deliver(Tcp(third_caller, harness::kFeedAddress, kAck), AtMs(4));
  ASSERT_EQ(lookup.size(), 1U);
  EXPECT_EQ(lookup[0].forward->kind, forward_kind::kUpstreamLookup);
  const auto out =
      balancer.Deliver(Tcp(third_caller, harness::kFeedAddress, kAck), AtMs(5),
                       forward_option{forward_kind::kUpstreamLookupReply, 1, 1,
                                      upstream_endpoint.address});
  EXPECT_EQ(out.at(0).View().destination, upstream_endpoint);
  EXPECT_EQ(balancer.core.counters().adopted, 3U);
}

TEST(Traffic, DropsAPacketFromAnEndpointOfNoUpstream) {
  harness balancer;
  EXPECT_TRUE(
      balancer.Deliver(Tcp({0x0a1e0101, 9999}, harness::kCaller, kAck), AtMs(1))
          .empty());
  EXPECT_EQ(balancer.core.counters().no_service, 1U);
}

TEST(Traffic, DropsDatagramsFromUntrustedSenders) {
  harness balancer;
  byte_buffer datagram = EncodeGeneve(
      {0, forward_option{}, BuildPacket(Syn(harness::kFeedAddress))});
  balancer.core.Receive(datagram, {0x7f000001, 6666}, AtMs(1));
  datagram =
      EncodeGeneve({0, std::nullopt, BuildPacket(Syn(harness::kFeedAddress))});
  balancer.core.Receive(datagram, harness::kPeer, AtMs(1));
  EXPECT_EQ(balancer.core.counters().untrusted, 2U);
  EXPECT_TRUE(balancer.sink.sent.empty());
}

TEST(Traffic, ForwardsToThePreviousOwnerBeforePlacingAFlow) {
  harness balancer;
  balancer.rennes().previous_owner = harness::kPeer;
  balancer.PublishView(AtMs(0));
  const auto forwarded = balancer.Deliver(Syn(harness::kFeedAddress), AtMs(1));
  ASSERT_EQ(forwarded.size(), 1U);
  EXPECT_EQ(forwarded[0].forward->kind, forward_kind::kToPreviousOwner);
  const auto placed = balancer.Deliver(
      Syn(harness::kFeedAddress), AtMs(2),
      forward_option{forward_kind::kFromPreviousOwner, 2, 1, 0});
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_FALSE(placed[0].forward);
}

}  // namespace
}  // namespace radishyard
