// The packet path of one balancer: placing, keeping, ending, refusing, and what
// is never done twice.
#include <gtest/gtest.h>

#include "support/traffic_harness.h"

namespace radishyard {
namespace {

using bench = traffic_harness;

const std::string kText = "id=1\n";
byte_span Payload() {
  return {reinterpret_cast<const uint8_t*>(kText.data()), kText.size()};
}

packet_fields Syn(const endpoint& to,
                  uint16_t caller_port = bench::kCaller.port) {
  return {{bench::kCaller.address, caller_port}, to, protocol::kTcp, kSyn, 100};
}

packet_fields Tcp(const endpoint& from, const endpoint& to, uint8_t flags) {
  return {from, to, protocol::kTcp, flags, 200, 101};
}

packet_fields Order(uint16_t caller_port = bench::kCaller.port) {
  return {{bench::kCaller.address, caller_port},
          bench::kNonIdempotentUdp,
          protocol::kUdp,
          0,
          0,
          0,
          7,
          Payload()};
}

packet_fields Lookup() {
  return {bench::kCaller, bench::kIdempotentUdp, protocol::kUdp, 0, 0, 0, 7,
          Payload()};
}

// Opens a TCP flow and answers it; returns its upstream.
endpoint OpenFlow(bench& b, const endpoint& service, time_point now,
                  uint16_t caller_port = bench::kCaller.port) {
  const auto opening = b.Deliver(Syn(service, caller_port), now);
  EXPECT_EQ(opening.size(), 1U);
  const endpoint up = opening.at(0).View().destination;
  b.Deliver(Tcp(up, {bench::kCaller.address, caller_port}, kSyn | kAck), now);
  return up;
}

TEST(Traffic, PlacesAFlowAndAnswersInTheServicesName) {
  bench b;
  const auto opening = b.Deliver(Syn(bench::kFeed), AtMs(1));
  ASSERT_EQ(opening.size(), 1U);
  const endpoint up = opening[0].View().destination;
  EXPECT_EQ(opening[0].View().source, bench::kCaller);
  const auto answer = b.Deliver(Tcp(up, bench::kCaller, kSyn | kAck), AtMs(2));
  ASSERT_EQ(answer.size(), 1U);
  EXPECT_EQ(answer[0].View().source, bench::kFeed);
  const auto data = b.Deliver(Tcp(bench::kCaller, bench::kFeed, kAck), AtMs(3));
  ASSERT_EQ(data.size(), 1U);
  EXPECT_EQ(data[0].View().destination, up);
}

TEST(Traffic, ALateAnswerOfAnEarlierPlacementIsDropped) {
  bench b;
  const endpoint first =
      b.Deliver(Syn(bench::kFeed), AtMs(1)).at(0).View().destination;
  for (uint16_t port = 1; port <= 20; ++port)
    OpenFlow(b, bench::kFeed, AtMs(1), port);  // Retry budget.
  const auto second = b.Tick(AtMs(400));
  ASSERT_EQ(second.size(), 1U) << "the unanswered opening is placed again";
  ASSERT_NE(second[0].View().destination, first);
  EXPECT_TRUE(
      b.Deliver(Tcp(first, bench::kCaller, kSyn | kAck), AtMs(401)).empty());
  EXPECT_EQ(
      b.Deliver(Tcp(second[0].View().destination, bench::kCaller, kSyn | kAck),
                AtMs(402))
          .size(),
      1U);
}

// Found by ProcessKill.OneOwner: a SYN-ACK went to the caller by a balancer
// that believed the owner dead. The owner gave its opening up when the caller
// went on, and must follow the witness that names the same upstream.
TEST(Traffic, AnAnswerThatPassedTheOwnerIsFollowed) {
  bench b;
  const endpoint caller{bench::kCaller.address, 1};
  const endpoint up =
      b.Deliver(Syn(bench::kFeed, 1), AtMs(1)).at(0).View().destination;
  b.Deliver(Tcp(caller, bench::kFeed, kAck), AtMs(5));
  const auto sent =
      b.Deliver(Tcp(caller, bench::kFeed, kAck), AtMs(6),
                forward_option{forward_kind::kCallerToOwner, 1, 1, up.address});
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].View().destination, up);
}

TEST(Traffic, SlotsAreNeverExceededAndAWaitingOpeningIsPlacedWhenOneFrees) {
  bench b(1);
  const endpoint up = OpenFlow(b, bench::kRequest, AtMs(1), 1);
  OpenFlow(b, bench::kRequest, AtMs(1), 2);
  EXPECT_TRUE(b.Deliver(Syn(bench::kRequest, 3), AtMs(2)).empty())
      << "both slots are taken";
  b.Deliver(Tcp(up, {bench::kCaller.address, 1}, kFin | kAck), AtMs(20));
  const auto placed = b.Tick(AtMs(21));
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].View().destination, up);
}

TEST(Traffic, AWaitTooLongIsRefusedWithAReset) {
  bench b(1);
  OpenFlow(b, bench::kRequest, AtMs(1), 1);
  OpenFlow(b, bench::kRequest, AtMs(1), 2);
  b.Deliver(Syn(bench::kRequest, 3), AtMs(2));
  const auto refused = b.Tick(AtMs(600));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_TRUE(refused[0].View().Has(kRst));
  EXPECT_EQ(refused[0].View().destination.port, 3);
}

TEST(Traffic, ANonIdempotentRequestRunsOnceUnderDuplication) {
  bench b;
  EXPECT_EQ(b.Deliver(Order(), AtMs(1)).size(), 1U);
  EXPECT_TRUE(b.Deliver(Order(), AtMs(2)).empty());
  b.Deliver({{0x0a1e0101, 7002},
             bench::kCaller,
             protocol::kUdp,
             0,
             0,
             0,
             1,
             Payload()},
            AtMs(3));
  b.Deliver({{0x0a1e0102, 7002},
             bench::kCaller,
             protocol::kUdp,
             0,
             0,
             0,
             1,
             Payload()},
            AtMs(3));
  EXPECT_TRUE(b.Deliver(Order(), AtMs(50)).empty())
      << "a copy that arrives after the answer";
}

// An idempotent request runs again when its caller repeats it, but once: the
// answers of two runs would be joined.
TEST(Traffic, ACopyOfARepetitionIsNotForwarded) {
  bench b;
  const packet_fields lookup = Lookup();
  EXPECT_EQ(b.Deliver(lookup, AtMs(1)).size(), 1U);
  EXPECT_TRUE(b.Deliver(lookup, AtMs(20)).empty());
  EXPECT_EQ(b.Deliver(lookup, AtMs(1001)).size(), 1U);
  EXPECT_TRUE(b.Deliver(lookup, AtMs(1020)).empty());
  EXPECT_EQ(b.Deliver(lookup, AtMs(2001)).size(), 1U);
}

// Found by ProcessKill: one part of an answer went by a balancer that was
// paused, and the caller joined the rest with the answer of another upstream.
TEST(Traffic, ARepetitionGoesToTheUpstreamThatAnswered) {
  bench b;
  const packet_fields lookup = Lookup();
  const endpoint first = b.Deliver(lookup, AtMs(1)).at(0).View().destination;
  b.Deliver({first, bench::kCaller, protocol::kUdp, 0, 0, 0, 1, Payload()},
            AtMs(5));
  // The other upstream is the less loaded one by now.
  ASSERT_EQ(OpenFlow(b, bench::kRequest, AtMs(6), 1).address, first.address);
  const auto again = b.Deliver(lookup, AtMs(1001));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].View().destination, first);
}

TEST(Traffic, ARepetitionWaitsForTheUpstreamThatAnswered) {
  bench b(1);
  const packet_fields lookup = Lookup();
  const endpoint first = b.Deliver(lookup, AtMs(1)).at(0).View().destination;
  const packet_fields part{first, bench::kCaller, protocol::kUdp, 0, 0, 0,
                           1,     Payload()};
  b.Deliver(part, AtMs(5));
  EXPECT_TRUE(b.Deliver(lookup, AtMs(6)).empty()) << "a copy";
  const endpoint holder = OpenFlow(b, bench::kRequest, AtMs(7), 1);
  ASSERT_EQ(holder.address, first.address);
  // Another request from the same port may go elsewhere.
  const std::string other_text = "id=2\n";
  packet_fields other = lookup;
  other.payload = {reinterpret_cast<const uint8_t*>(other_text.data()),
                   other_text.size()};
  bench apart(1);
  apart.Deliver(lookup, AtMs(1));
  apart.Deliver(part, AtMs(5));
  OpenFlow(apart, bench::kRequest, AtMs(7), 1);
  EXPECT_EQ(apart.Deliver(other, AtMs(1001)).size(), 1U);
  for (const int64_t at : {1001, 2001, 3001}) {
    EXPECT_TRUE(b.Deliver(lookup, AtMs(at)).empty());
    b.Tick(AtMs(at + 999));
  }
  const endpoint caller{bench::kCaller.address, 1};
  b.Deliver({holder, caller, protocol::kTcp, kFin | kAck, 300, 101},
            AtMs(4000));
  const auto again = b.Deliver(lookup, AtMs(4001));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].View().destination, first);
}

TEST(Traffic, NonIdempotentWorkIsWithheldWithoutALease) {
  bench b;
  b.GrantLease(AtMs(1000));
  EXPECT_EQ(b.Deliver(Order(1), AtMs(999)).size(), 1U);
  EXPECT_TRUE(b.Deliver(Order(2), AtMs(1000)).empty())
      << "the lease has lapsed";
  b.rennes().role = pool_role::kActing;
  b.GrantLease(AtMs(9000));
  b.PublishView(AtMs(1001));
  EXPECT_TRUE(b.Deliver(Order(3), AtMs(1002)).empty())
      << "acting owners place no such work";
  EXPECT_EQ(b.Deliver(Syn(bench::kFeed), AtMs(1003)).size(), 1U)
      << "but TCP openings";
}

TEST(Traffic, AnIngressForwardsByWitnessAndRendezvous) {
  bench b;
  b.rennes().role = pool_role::kNone;
  b.PublishView(AtMs(0));
  const auto forwarded = b.Deliver(Syn(bench::kFeed), AtMs(1));
  ASSERT_EQ(forwarded.size(), 1U);
  EXPECT_EQ(forwarded[0].to, bench::kPeer);
  EXPECT_EQ(forwarded[0].forward->kind, forward_kind::kCallerToOwner);
  b.Deliver(Tcp({0x0a1e0102, 7000}, bench::kCaller, kSyn | kAck),
            AtMs(2));  // Seen in passing.
  const auto data = b.Deliver(Tcp(bench::kCaller, bench::kFeed, kAck), AtMs(3));
  ASSERT_EQ(data.size(), 1U);
  EXPECT_EQ(data[0].forward->upstream, 0x0a1e0102U);
}

TEST(Traffic, ANewOwnerLearnsFlowsFromAnswersHintsAndWitnesses) {
  bench b;
  const endpoint up{0x0a1e0102, 7000};
  b.Deliver(Tcp(up, bench::kCaller, kAck), AtMs(1));
  EXPECT_EQ(b.Deliver(Tcp(bench::kCaller, bench::kFeed, kAck), AtMs(2))
                .at(0)
                .View()
                .destination,
            up);

  const endpoint other{bench::kCaller.address, 41000};
  const auto hinted =
      b.Deliver(Tcp(other, bench::kFeed, kAck), AtMs(3),
                forward_option{forward_kind::kCallerToOwner, 1, 1, up.address});
  EXPECT_EQ(hinted.at(0).View().destination, up);

  const endpoint third{bench::kCaller.address, 42000};
  const auto question = b.Deliver(Tcp(third, bench::kFeed, kAck), AtMs(4));
  ASSERT_EQ(question.size(), 1U);
  EXPECT_EQ(question[0].forward->kind, forward_kind::kUpstreamLookup);
  const auto told = b.Deliver(
      Tcp(third, bench::kFeed, kAck), AtMs(5),
      forward_option{forward_kind::kUpstreamLookupReply, 1, 1, up.address});
  EXPECT_EQ(told.at(0).View().destination, up);
  EXPECT_EQ(b.core.counters().adopted, 3U);
}

TEST(Traffic, AnAnswerNeverCrossesServices) {
  bench b;
  EXPECT_TRUE(b.Deliver(Tcp({0x0a1e0101, 9999}, bench::kCaller, kAck), AtMs(1))
                  .empty());
  EXPECT_EQ(b.core.counters().no_service, 1U);
}

TEST(Traffic, StrangersAreNotTrusted) {
  bench b;
  byte_buffer datagram =
      EncodeGeneve({0, forward_option{}, BuildPacket(Syn(bench::kFeed))});
  b.core.Receive(datagram, {0x7f000001, 6666}, AtMs(1));
  datagram = EncodeGeneve({0, std::nullopt, BuildPacket(Syn(bench::kFeed))});
  b.core.Receive(datagram, bench::kPeer, AtMs(1));
  EXPECT_EQ(b.core.counters().untrusted, 2U);
  EXPECT_TRUE(b.sink.sent.empty());
}

TEST(Traffic, APreviousOwnerIsAskedBeforeAFlowIsPlacedAgain) {
  bench b;
  b.rennes().previous_owner = bench::kPeer;
  b.PublishView(AtMs(0));
  const auto asked = b.Deliver(Syn(bench::kFeed), AtMs(1));
  ASSERT_EQ(asked.size(), 1U);
  EXPECT_EQ(asked[0].forward->kind, forward_kind::kToPreviousOwner);
  const auto placed =
      b.Deliver(Syn(bench::kFeed), AtMs(2),
                forward_option{forward_kind::kFromPreviousOwner, 2, 1, 0});
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_FALSE(placed[0].forward);
}

}  // namespace
}  // namespace radishyard
