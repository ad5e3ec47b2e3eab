// Tests what the packet path does while a failure domain is evacuated: no new
// flow is placed there, open flows stay, and nothing is placed twice.
#include <gtest/gtest.h>

#include "support/traffic_harness.h"

namespace radishyard {
namespace {

using harness = traffic_harness;
using enum forward_kind;

const std::string kRequestText = "id=1\n";
byte_span Payload() {
  return {reinterpret_cast<const uint8_t*>(kRequestText.data()),
          kRequestText.size()};
}

packet_fields Tcp(uint16_t caller_port, uint8_t flags,
                  const endpoint& to = harness::kFeedAddress) {
  return {
      {harness::kCaller.address, caller_port}, to, protocol::kTcp, flags, 100};
}

packet_fields Datagram(const endpoint& to, uint16_t caller_port) {
  return {{harness::kCaller.address, caller_port},
          to,
          protocol::kUdp,
          0,
          0,
          0,
          7,
          Payload()};
}

// The balancer owns the pool in rennes; the peer owns the one in vannes.
struct two_pools : harness {
  explicit two_pools(uint32_t slots = 2) : harness(slots) {
    vannes().reachable = true;
    PublishView(AtMs(1));
    GrantLease(AtMs(1000000));
  }
  void SetEvacuated(bool in_rennes, bool in_vannes, time_point now) {
    rennes().evacuated = in_rennes;
    vannes().evacuated = in_vannes;
    PublishView(now);
  }
  // Returns a caller's port whose flow to `to` belongs to rennes while no
  // domain is evacuated.
  uint16_t PortOfRennes(const endpoint& to, protocol proto) const {
    for (uint16_t port = 1;; ++port) {
      const flow_key key{{kCaller.address, port}, to, proto};
      const auto& route = view->ports.at({proto, to});
      if (PickPoolBeforeEvacuation(*view, route, StableHash(key)) == 0)
        return port;
    }
  }
  uint16_t FeedPort() const {
    return PortOfRennes(kFeedAddress, protocol::kTcp);
  }
  forward_option ToRennes() { return {kCallerToOwner, 1, rennes().tag, 0, 0}; }
};

bool IsPassedTo(const std::vector<sent_packet>& sent, const pool_route& pool) {
  return sent.size() == 1 && sent[0].forward &&
         sent[0].forward->kind == kPassedOpening &&
         sent[0].forward->pool == pool.tag;
}

// Guards against new flows in an evacuated domain, and against openings that
// depend on its balancers.
TEST(Evacuation, OpeningsAreRoutedToOtherDomainsUntilRestored) {
  two_pools balancer;
  const uint16_t port = balancer.FeedPort();
  balancer.SetEvacuated(true, false, AtMs(10));
  for (const packet_fields& opening :
       {Tcp(port, kSyn), Datagram(harness::kIdempotentUdp,
                                  balancer.PortOfRennes(harness::kIdempotentUdp,
                                                        protocol::kUdp))}) {
    const auto sent = balancer.Deliver(opening, AtMs(11));
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_TRUE(sent[0].forward);
    EXPECT_EQ(sent[0].forward->kind, kCallerToOwner);
    EXPECT_EQ(sent[0].forward->pool, balancer.vannes().tag);
  }
  balancer.SetEvacuated(false, false, AtMs(12));
  const auto placed = balancer.Deliver(Tcp(port, kSyn), AtMs(13));
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_FALSE(placed[0].forward);
}

// Guards against refusals during the seconds in which the owner knows of an
// evacuation and other balancers do not, and against second placements.
TEST(Evacuation, OwnerPassesOpeningsAndTheirCopiesToTheSamePool) {
  two_pools balancer;
  const uint16_t port = balancer.FeedPort();
  balancer.SetEvacuated(true, false, AtMs(10));
  for (const int at_ms : {11, 211}) {
    EXPECT_TRUE(IsPassedTo(
        balancer.Deliver(Tcp(port, kSyn), AtMs(at_ms), balancer.ToRennes()),
        balancer.vannes()));
  }
  balancer.SetEvacuated(false, false, AtMs(300));
  EXPECT_TRUE(IsPassedTo(
      balancer.Deliver(Tcp(port, kSyn), AtMs(611), balancer.ToRennes()),
      balancer.vannes()));
  EXPECT_EQ(balancer.core.counters().placed, 0U);
  EXPECT_EQ(balancer.core.counters().refused, 0U);
}

// Guards against an opening that two evacuated pools pass to each other, while
// their owners have different views.
TEST(Evacuation, OpeningThatWasPassedHereIsRefused) {
  two_pools balancer;
  balancer.SetEvacuated(true, false, AtMs(10));
  const auto sent = balancer.Deliver(
      Tcp(balancer.FeedPort(), kSyn), AtMs(11),
      forward_option{kPassedOpening, 1, balancer.rennes().tag, 0, 0});
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].View().Has(kRst));
  EXPECT_EQ(balancer.core.counters().refused_evacuated, 1U);
}

// Guards against refusals while the pool has a previous owner, which all its
// openings visit first, and against openings that circulate.
TEST(Evacuation, OpeningReturnedByThePreviousOwnerIsPassedWithinTheHopLimit) {
  two_pools balancer;
  balancer.rennes().previous_owner = harness::kPeer;
  balancer.SetEvacuated(true, false, AtMs(10));
  forward_option returned{kFromPreviousOwner, 3, balancer.rennes().tag, 0, 0};
  const auto request = Datagram(harness::kNonIdempotentUdp, 1);
  const auto passed = balancer.Deliver(request, AtMs(11), returned);
  ASSERT_TRUE(IsPassedTo(passed, balancer.vannes()));
  EXPECT_EQ(passed[0].forward->hops, 4);
  returned.hops = kMaxHops;
  const auto refused =
      balancer.Deliver(Tcp(balancer.FeedPort(), kSyn), AtMs(12), returned);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_TRUE(refused[0].View().Has(kRst));
}

// Guards against openings that wait until their deadline in a pool that will
// not place them.
TEST(Evacuation, WaitingOpeningsLeaveTheEvacuatedPoolAtOnce) {
  two_pools balancer(1);
  for (uint16_t port = 1; port <= 2; ++port)
    balancer.Deliver(Tcp(port, kSyn, harness::kRequestAddress), AtMs(1),
                     balancer.ToRennes());
  EXPECT_TRUE(balancer
                  .Deliver(Tcp(3, kSyn, harness::kRequestAddress), AtMs(2),
                           balancer.ToRennes())
                  .empty());
  balancer.SetEvacuated(true, false, AtMs(3));
  EXPECT_TRUE(IsPassedTo(balancer.sink.TakeSent(), balancer.vannes()));
}

TEST(Evacuation, WaitingOpeningsAreRefusedIfAllDomainsAreEvacuated) {
  two_pools balancer(1);
  for (uint16_t port = 1; port <= 3; ++port)
    balancer.Deliver(Tcp(port, kSyn, harness::kRequestAddress), AtMs(1),
                     balancer.ToRennes());
  balancer.SetEvacuated(true, true, AtMs(3));
  const auto sent = balancer.sink.TakeSent();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].View().Has(kRst));
  EXPECT_EQ(balancer.core.counters().refused_evacuated, 1U);
}

// Guards against openings that are held or dropped although no domain may take
// them, and against a refusal of a request that may have run: the owner alone
// knows that, and knows it again only after a while.
TEST(Evacuation, OpeningsAreRefusedAtOnceIfAllDomainsAreEvacuated) {
  two_pools balancer;
  const uint16_t port =
      balancer.PortOfRennes(harness::kIdempotentUdp, protocol::kUdp);
  balancer.SetEvacuated(true, true, AtMs(10));
  const auto reset = balancer.Deliver(Tcp(balancer.FeedPort(), kSyn), AtMs(11));
  ASSERT_EQ(reset.size(), 1U);
  EXPECT_TRUE(reset[0].View().Has(kRst));
  EXPECT_EQ(balancer.core.counters().refused_evacuated, 1U);
  const auto request = Datagram(harness::kIdempotentUdp, port);
  EXPECT_TRUE(balancer.Deliver(request, AtMs(12)).empty());
  EXPECT_EQ(balancer.core.counters().unsafe_withheld, 1U);
  const time_point settled = AtMs(13) + kEvacuationSettleTime;
  EXPECT_EQ(balancer.Deliver(request, settled).size(), 1U);
  EXPECT_EQ(balancer.core.counters().refused_evacuated, 2U);
}

// Guards against a reset or a move of an open flow.
TEST(Evacuation, OpenFlowsKeepTheirUpstream) {
  two_pools balancer;
  const uint16_t port = balancer.FeedPort();
  const auto opening = balancer.Deliver(Tcp(port, kSyn), AtMs(2));
  const endpoint upstream_endpoint = opening.at(0).View().destination;
  balancer.Deliver({upstream_endpoint,
                    {harness::kCaller.address, port},
                    protocol::kTcp,
                    kSyn | kAck},
                   AtMs(3));
  balancer.SetEvacuated(true, false, AtMs(10));
  const auto sent = balancer.Deliver(Tcp(port, kAck), AtMs(11));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].View().destination, upstream_endpoint);
  EXPECT_EQ(balancer.core.owner().OpenFlows(), 1U);
}

// Guards against lost packets of open flows: a balancer that has no record of a
// flow sends its packets to the owner of the evacuated pool, once.
TEST(Evacuation, PacketsOfUnknownFlowsReachTheOwnerOfTheEvacuatedPool) {
  two_pools balancer;
  uint16_t port = 1;
  const auto& route =
      balancer.view->ports.at({protocol::kTcp, harness::kFeedAddress});
  while (PickPool(*balancer.view, route,
                  StableHash({{harness::kCaller.address, port},
                              harness::kFeedAddress,
                              protocol::kTcp})) != 1)
    ++port;
  balancer.SetEvacuated(false, true, AtMs(10));
  const auto sent = balancer.Deliver(Tcp(port, kAck), AtMs(11));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].forward->kind, kCallerToOwner);
  EXPECT_EQ(sent[0].forward->pool, balancer.vannes().tag);
  const auto returned = balancer.Deliver(
      Tcp(port, kAck), AtMs(12),
      forward_option{kPassedOpening, 2, balancer.rennes().tag, 0, 0});
  ASSERT_EQ(returned.size(), 1U);
  EXPECT_EQ(returned[0].forward->kind, kUpstreamLookup);
}

// Guards against a second execution: all copies of a non-idempotent request
// reach the same owner before, during and after an evacuation.
TEST(Evacuation, NonIdempotentRequestsKeepTheirOwner) {
  two_pools balancer;
  const uint16_t port =
      balancer.PortOfRennes(harness::kNonIdempotentUdp, protocol::kUdp);
  const auto request = Datagram(harness::kNonIdempotentUdp, port);
  balancer.Deliver(request, AtMs(2));
  EXPECT_EQ(balancer.core.counters().placed, 1U);
  balancer.SetEvacuated(true, false, AtMs(10));
  EXPECT_TRUE(balancer.Deliver(request, AtMs(11)).empty());
  EXPECT_EQ(balancer.core.counters().duplicates, 1U);
  const auto second = Datagram(harness::kNonIdempotentUdp, port + 1000);
  balancer.Deliver(second, AtMs(12), balancer.ToRennes());
  EXPECT_EQ(balancer.core.counters().placed, 1U);
  EXPECT_EQ(balancer.core.counters().passed, 1U);
  // While no balancer of the domain is alive, none can hold its lease.
  balancer.rennes().substituted = true;
  const auto& route =
      balancer.view->ports.at({protocol::kUdp, harness::kNonIdempotentUdp});
  EXPECT_EQ(PickPoolBeforeEvacuation(*balancer.view, route, 1), 1);
}

}  // namespace
}  // namespace radishyard
