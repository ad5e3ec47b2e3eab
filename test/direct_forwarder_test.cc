// Tests the decisions on packets: placement of openings, forwarding by mark,
// refusals, and the health of upstreams that they depend on.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

/// Opens a flow and sends its first request.
/// \returns the decision on the opening.
verdict OpenAndRequest(direct_world& world, uint32_t caller, time_point at,
                       const endpoint& to = kIdempotentAddress) {
  const verdict placed = world.SendOpening(caller, at, 0, to);
  world.SendPacket(caller, placed.mark, 100, 50, 1, at + 9ms, to);
  return placed;
}

TEST(DirectForwarder, ForwardsByTheMarkOnAnyBalancer) {
  direct_world first({MakeEntry(1), MakeEntry(2), MakeEntry(3)});
  direct_world second({MakeEntry(1), MakeEntry(2), MakeEntry(3)});
  const verdict placed = first.SendOpening(1, AtMs(0));
  const verdict next = second.SendPacket(1, placed.mark, 10, 5, 1, AtMs(10));
  EXPECT_EQ(next.action, verdict_action::kForward);
  EXPECT_EQ(next.upstream, placed.upstream);
  EXPECT_EQ(next.to, placed.to);
}

TEST(DirectForwarder, DropsOpeningsUntilTableAndUpstreamsAreKnown) {
  forwarding_state state;
  direct_packet opening = direct_world::MakePacket(1, kIdempotentAddress);
  opening.is_opening = true;
  EXPECT_EQ(RoutePacket(state, opening, AtMs(0)).action, verdict_action::kDrop);
  ApplyTable(state, MakeRoutingTable());
  EXPECT_EQ(RoutePacket(state, opening, AtMs(0)).action, verdict_action::kDrop);
  ApplyUpstreamList(state, {{0, 1}, {MakeEntry(1)}}, AtMs(0), AtMs(0));
  EXPECT_EQ(RoutePacket(state, opening, AtMs(0)).action,
            verdict_action::kForward);
}

TEST(DirectForwarder, RefusesOpeningsWithoutAnUpstreamOrAnAddress) {
  direct_world world({});
  EXPECT_EQ(world.SendOpening(1, AtMs(0)),
            (verdict{.action = verdict_action::kRefuse,
                     .reason = verdict_reason::kNoUpstream}));
  EXPECT_EQ(world.SendOpening(1, AtMs(0), 0, {kIdempotentAddress.address, 1}),
            (verdict{.action = verdict_action::kRefuse,
                     .reason = verdict_reason::kUnknownAddress}));
}

// A reset would break a flow whose upstream is alive but not yet in the list of
// this balancer.
TEST(DirectForwarder, DropsAPacketWithAnUnknownMark) {
  direct_world world({MakeEntry(1)});
  EXPECT_EQ(world.SendPacket(1, ToFlowMark(9), 10, 5, 1, AtMs(0)).action,
            verdict_action::kDrop);
}

TEST(DirectForwarder, DropsAnOlderTable) {
  direct_world world({MakeEntry(1)});
  EXPECT_TRUE(ApplyTable(world.state, MakeRoutingTable(5)));
  EXPECT_FALSE(ApplyTable(world.state, MakeRoutingTable(5)));
  EXPECT_FALSE(ApplyTable(world.state, MakeRoutingTable(4)));
  EXPECT_EQ(world.state.table.version, 5U);
}

TEST(DirectForwarder, ForwardsOpenFlowsAfterTheirAddressIsRemoved) {
  direct_world world({MakeEntry(1)});
  const verdict placed = OpenAndRequest(world, 1, AtMs(0));
  routing_table empty{.version = 2};
  ApplyTable(world.state, empty);
  EXPECT_EQ(world.SendPacket(1, placed.mark, 150, 5, 1, AtMs(50)).action,
            verdict_action::kForward);
  EXPECT_EQ(world.SendOpening(2, AtMs(50)).action, verdict_action::kRefuse);
}

TEST(DirectForwarder, SplitsNewFlowsByWeight) {
  direct_world world(
      {MakeEntry(1), MakeEntry(2, kLocalDomain, "drawing-archive")});
  routing_table table = MakeRoutingTable(2);
  table.addresses[0].shares = {{kService, 90}, {"drawing-archive", 10}};
  ApplyTable(world.state, table);
  constexpr uint32_t kFlows = 4000;
  constexpr uint32_t kExpected = 400;  // A weight of 10 of 100.
  constexpr uint32_t kTolerance = 80;  // Four standard deviations.
  uint32_t archive_flows = 0;
  for (uint32_t caller = 0; caller < kFlows; ++caller)
    archive_flows += world.SendOpening(caller, AtMs(0)).upstream == 2 ? 1 : 0;
  EXPECT_NEAR(archive_flows, kExpected, kTolerance);
}

TEST(DirectForwarder, SpreadsFlowsEvenlyWithinTheDomain) {
  direct_world world(
      {MakeEntry(1), MakeEntry(2), MakeEntry(3), MakeEntry(4, kRemoteDomain)});
  for (uint32_t caller = 0; caller < 30; ++caller)
    OpenAndRequest(world, caller, AtMs(caller * 10));
  for (upstream_id id : {1, 2, 3})
    EXPECT_EQ(world.Upstream(id).stats.flows, 10U);
  EXPECT_EQ(world.Upstream(4).stats.flows, 0U);
}

TEST(DirectForwarder, UsesOtherDomainsWithoutALocalUpstream) {
  upstream_entry leaving = MakeEntry(1);
  leaving.leaving = true;
  direct_world world({leaving, MakeEntry(4, kRemoteDomain)});
  EXPECT_EQ(world.SendOpening(1, AtMs(0)).upstream, 4U);
}

// Upstreams differ in speed and flows are long, so the faster one gets more
// flows.
TEST(DirectForwarder, PlacesMoreFlowsOnAFasterUpstream) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  for (uint32_t caller = 0; caller < 60; ++caller) {
    const time_point at = AtMs(caller * 1000);
    const verdict placed = OpenAndRequest(world, caller, at);
    const duration work = placed.upstream == 1 ? 10ms : 30ms;
    world.SendPacket(caller, placed.mark, 150, 0, 500, at + 9ms + work);
  }
  EXPECT_NEAR(world.Upstream(1).stats.flows, 45, 3);
}

TEST(DirectForwarder, PlacesARetransmittedOpeningOnAnotherUpstream) {
  direct_world world({MakeEntry(1), MakeEntry(2), MakeEntry(4, kRemoteDomain)});
  const verdict first = world.SendOpening(1, AtMs(0));
  const verdict second = world.SendOpening(1, AtMs(200), 1);
  const verdict third = world.SendOpening(1, AtMs(600), 2);
  EXPECT_NE(first.upstream, second.upstream);
  EXPECT_NE(second.upstream, third.upstream);
}

TEST(DirectForwarder, ForwardsDuplicateAndLateOpeningsToTheUpstreamOfTheFlow) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  const verdict placed = world.SendOpening(1, AtMs(0));
  EXPECT_EQ(world.SendOpening(1, AtMs(1)).upstream, placed.upstream);
  world.SendPacket(1, placed.mark, 100, 50, 1, AtMs(9));
  EXPECT_EQ(world.SendOpening(1, AtMs(200), 1).upstream, placed.upstream);
  EXPECT_EQ(world.Upstream(placed.upstream).stats.flows, 1U);
}

// A crashed upstream refuses openings itself, and the caller opens another flow
// at once. The balancer only receives an opening without any further packet of
// its flow.
TEST(DirectForwarder, AvoidsAnUpstreamThatRefusesOpenings) {
  direct_world world({MakeEntry(1), MakeEntry(4, kRemoteDomain)});
  EXPECT_EQ(world.SendOpening(1, AtMs(0)).upstream, 1U);
  EXPECT_EQ(world.SendOpening(2, AtMs(60)).upstream, 4U);
  // It receives another opening after increasing delays.
  EXPECT_EQ(world.SendOpening(3, AtMs(300)).upstream, 1U);
  EXPECT_EQ(world.SendOpening(4, AtMs(600)).upstream, 4U);
  EXPECT_EQ(world.SendOpening(5, AtMs(810)).upstream, 1U);
  world.SendPacket(5, ToFlowMark(1), 100, 50, 1, AtMs(819));
  EXPECT_EQ(world.SendOpening(6, AtMs(820)).upstream, 1U);
}

/// Two flows on an upstream that becomes unresponsive at 1 s: the data that
/// they send then gets no acknowledgement.
struct unresponsive_world : direct_world {
  explicit unresponsive_world(const endpoint& to)
      : direct_world({MakeEntry(1)}) {
    for (uint32_t caller : {1, 2}) {
      OpenAndRequest(*this, caller, AtMs(0), to);
      SendPacket(caller, ToFlowMark(1), 150, 0, 500, AtMs(30), to);
      SendPacket(caller, ToFlowMark(1), 150, 50, 500, AtMs(1000), to);
    }
  }
};

TEST(DirectForwarder, ResetsIdempotentFlowsOfAnUnresponsiveUpstream) {
  unresponsive_world world(kIdempotentAddress);
  EXPECT_EQ(world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(1200)).action,
            verdict_action::kForward);
  EXPECT_EQ(world.SendPacket(2, ToFlowMark(1), 150, 50, 500, AtMs(1300)).action,
            verdict_action::kForward);
  // The path of one caller may have lost both copies of its data.
  EXPECT_EQ(world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(1600)).action,
            verdict_action::kForward);
  EXPECT_EQ(world.SendPacket(2, ToFlowMark(1), 150, 50, 500, AtMs(1700)),
            (verdict{.action = verdict_action::kRefuse,
                     .reason = verdict_reason::kUnresponsiveUpstream}));
  // A flow with a new request is reset as well: its caller still has time to
  // retry on another flow.
  EXPECT_EQ(world.SendPacket(3, ToFlowMark(1), 100, 50, 1, AtMs(1701)).action,
            verdict_action::kRefuse);
}

// Two datagrams of one caller were lost in a row; a balancer that was alone in
// its domain reset the flow at the second retransmission, and flows of other
// callers with new requests, while the upstream answered everybody else.
TEST(DirectForwarder, KeepsFlowsIfOneCallersPacketsAreLost) {
  unresponsive_world world(kIdempotentAddress);
  world.SendPacket(2, ToFlowMark(1), 200, 0, 900, AtMs(1050));
  for (int64_t ms : {1200, 1600, 2400, 4000})
    EXPECT_EQ(world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(ms)).action,
              verdict_action::kForward)
        << ms;
  EXPECT_EQ(world.SendPacket(2, ToFlowMark(1), 200, 50, 900, AtMs(4050)).action,
            verdict_action::kForward);
  EXPECT_EQ(world.state.silences.unproven, 4U);
}

// The link of one office, whose flows share one address, lost packets for 0.8
// s. Its flows and those of other callers were reset.
TEST(DirectForwarder, KeepsFlowsIfOneOfficeHasALossyLink) {
  direct_world world({MakeEntry(1)});
  constexpr uint16_t kFlows = 24;
  direct_packet request;
  request.mark = ToFlowMark(1);
  request.length = 50;
  request.acknowledged = 1;
  for (int64_t ms : {0, 200, 600}) {
    for (uint16_t port = 0; port < kFlows; ++port) {
      request.flow = {{0x64400009, static_cast<uint16_t>(5000 + port)},
                      kIdempotentAddress,
                      protocol::kTcp};
      EXPECT_EQ(RoutePacket(world.state, request, AtMs(1000 + ms)).action,
                verdict_action::kForward);
    }
  }
  EXPECT_EQ(world.SendPacket(3, ToFlowMark(1), 100, 50, 1, AtMs(1610)).action,
            verdict_action::kForward);
}

/// A caller's data that is first sent at 1 s and retransmitted twice.
verdict SendUnansweredRequest(direct_world& world, uint32_t caller,
                              upstream_id upstream) {
  verdict last;
  for (int64_t ms : {1000, 1200, 1600})
    last = world.SendPacket(caller, ToFlowMark(upstream), 100, 50, 1,
                            AtMs(ms + caller));
  return last;
}

// A balancer whose own link loses packets, or callers that share a lossy path,
// see most upstreams silent at once.
TEST(DirectForwarder, KeepsFlowsIfMostUpstreamsSeemSilentAtOnce) {
  direct_world world({MakeEntry(1), MakeEntry(2), MakeEntry(3)});
  uint32_t caller = 0;
  for (upstream_id upstream : {1, 2, 3})
    for (int i = 0; i < 2; ++i) {
      const verdict last = SendUnansweredRequest(world, ++caller, upstream);
      // The first upstream alone is silent: it is not the path.
      const bool is_first = upstream == 1 && i == 1;
      EXPECT_EQ(last.action,
                is_first ? verdict_action::kRefuse : verdict_action::kForward)
          << caller;
    }
}

// Guards against resetting all flows of a healthy upstream (soak seeds 407 and
// 417). Packets to one balancer are delayed by 250 ms, so callers retransmit
// requests that did get a response. Then routers move flows to other balancers,
// and the acknowledgements of their responses no longer pass through this one.
TEST(DirectForwarder, KeepsFlowsWhileRetransmittedRequestsReceiveResponses) {
  unresponsive_world world(kIdempotentAddress);
  for (uint32_t caller : {11, 12, 13}) {
    world.SendOpening(caller, AtMs(400));
    world.SendPacket(caller, ToFlowMark(1), 100, 50, 1, AtMs(420));
    world.SendPacket(caller, ToFlowMark(1), 100, 50, 1, AtMs(620));
    world.SendPacket(caller, ToFlowMark(1), 150, 0, 900, AtMs(700));
  }
  world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(1200));
  world.SendPacket(2, ToFlowMark(1), 150, 50, 500, AtMs(1300));
  EXPECT_EQ(world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(1600)).action,
            verdict_action::kForward);
  ASSERT_TRUE(IsUnresponsive(world.Upstream(1).stats, AtMs(1600)));
  // Once the responses to retransmitted requests are long past, unanswered
  // retransmissions count again.
  EXPECT_EQ(world.SendPacket(2, ToFlowMark(1), 150, 50, 500, AtMs(1700)).action,
            verdict_action::kForward);
  world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(2400));
  world.SendPacket(2, ToFlowMark(1), 150, 50, 500, AtMs(2500));
  EXPECT_EQ(world.SendPacket(3, ToFlowMark(1), 100, 50, 1, AtMs(2701)).action,
            verdict_action::kRefuse);
}

TEST(DirectForwarder, NeverResetsNonIdempotentFlows) {
  unresponsive_world world(kNonIdempotentAddress);
  for (int64_t ms : {1200, 1600, 2400, 4000})
    for (uint32_t caller : {1, 2})
      EXPECT_EQ(world
                    .SendPacket(caller, ToFlowMark(1), 150, 50, 500, AtMs(ms),
                                kNonIdempotentAddress)
                    .action,
                verdict_action::kForward);
}

TEST(DirectForwarder, KeepsFlowsAfterOneAcknowledgement) {
  unresponsive_world world(kIdempotentAddress);
  world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(1200));
  world.SendPacket(2, ToFlowMark(1), 150, 50, 500, AtMs(1300));
  world.SendPacket(2, ToFlowMark(1), 200, 0, 900, AtMs(1350));
  EXPECT_EQ(world.SendPacket(1, ToFlowMark(1), 150, 50, 500, AtMs(1600)).action,
            verdict_action::kForward);
}

// Guards against a reset due to old retransmissions (soak seed 263). An
// upstream is unreachable for a second and its flows move to other balancers,
// so no acknowledgement of its responses passes through this one any more. A
// flow that another balancer opens five seconds later must not be reset here.
TEST(DirectForwarder, KeepsFlowsIfUnansweredRetransmissionsAreOld) {
  unresponsive_world world(kIdempotentAddress);
  for (uint32_t caller : {1, 2})
    for (int64_t ms : {1200, 1600})
      world.SendPacket(caller, ToFlowMark(1), 150, 50, 500, AtMs(ms));
  EXPECT_EQ(world.SendPacket(3, ToFlowMark(1), 100, 50, 1, AtMs(2500)).action,
            verdict_action::kRefuse);
  EXPECT_EQ(world.SendPacket(4, ToFlowMark(1), 100, 50, 1, AtMs(2601)).action,
            verdict_action::kForward);
  // Old retransmissions do not add to later ones either.
  EXPECT_EQ(world.SendPacket(4, ToFlowMark(1), 100, 50, 1, AtMs(6000)).action,
            verdict_action::kForward);
}

// Guards against a reset due to a pause of the balancer (soak seed 264). After
// a pause of 1.5 s, the balancer reads retransmitted data of two flows from its
// socket before the acknowledgements that arrived later, and must not reset a
// third flow.
TEST(DirectForwarder, IgnoresRetransmissionsThatArrivedDuringAPause) {
  unresponsive_world world(kIdempotentAddress);
  world.state.tracker.resumed_at = AtMs(2600);
  for (uint32_t caller : {1, 2, 3})
    EXPECT_EQ(world.SendPacket(caller, ToFlowMark(1), 150, 50, 500, AtMs(2600))
                  .action,
              verdict_action::kForward);
  EXPECT_FALSE(IsUnresponsive(world.Upstream(1).stats, AtMs(2600)));
}

// After a pause of this process, data and its retransmissions arrive together.
TEST(DirectForwarder, IgnoresABurstOfRetransmissionsAfterAPause) {
  unresponsive_world world(kIdempotentAddress);
  world.SendPacket(1, ToFlowMark(1), 200, 50, 500, AtMs(5000));
  for (int copy = 0; copy < 4; ++copy)
    EXPECT_EQ(
        world.SendPacket(1, ToFlowMark(1), 200, 50, 500, AtMs(5001)).action,
        verdict_action::kForward);
}

// A slow upstream acknowledges retransmitted data, so each caller retransmits
// it once. Guards against taking single retransmissions by several callers
// within a second as a sign of an unresponsive upstream (found in run
// hunt-82cd-7 on a large site).
TEST(DirectForwarder, KeepsFlowsOfASlowUpstreamWithSeveralCallers) {
  direct_world world({MakeEntry(1)});
  constexpr uint32_t kCallers = 8;
  for (uint32_t caller = 0; caller < kCallers; ++caller) {
    OpenAndRequest(world, caller, AtMs(caller));
    world.SendPacket(caller, ToFlowMark(1), 150, 0, 500, AtMs(100 + caller));
  }
  for (int64_t i = 0; i < kCallers; ++i)
    world.SendPacket(static_cast<uint32_t>(i), ToFlowMark(1), 150, 50, 500,
                     AtMs(1000 + i * 80));
  for (int64_t i = 0; i < kCallers; ++i)
    EXPECT_EQ(world
                  .SendPacket(static_cast<uint32_t>(i), ToFlowMark(1), 150, 50,
                              500, AtMs(1200 + i * 80))
                  .action,
              verdict_action::kForward)
        << "caller " << i;
  EXPECT_FALSE(IsUnresponsive(world.Upstream(1).stats, AtMs(1800)));
}

// A request of several packets is retransmitted as a whole, without pauses
// between its packets.
TEST(DirectForwarder, CountsThePacketsOfARetransmittedRequestOnce) {
  direct_world world({MakeEntry(1)});
  OpenAndRequest(world, 1, AtMs(0));
  for (uint32_t packet = 0; packet < 6; ++packet)
    world.SendPacket(1, ToFlowMark(1), 150 + packet * 50, 50, 1, AtMs(1000));
  for (int64_t packet = 0; packet < 6; ++packet)
    EXPECT_EQ(world
                  .SendPacket(1, ToFlowMark(1),
                              150 + static_cast<uint32_t>(packet) * 50, 50, 1,
                              AtMs(1400 + packet))
                  .action,
              verdict_action::kForward);
}

TEST(DirectForwarder, KeepsFlowsOfASlowUpstream) {
  unresponsive_world world(kIdempotentAddress);
  for (uint32_t caller : {1, 2})
    EXPECT_EQ(
        world.SendPacket(caller, ToFlowMark(1), 200, 0, 900, AtMs(3000)).action,
        verdict_action::kForward);
  EXPECT_GT(world.Upstream(1).stats.mean_response_s, 1.0);
}

/// Sends one request on an open flow and, after `work`, the acknowledgement of
/// a response of `bytes`.
/// \returns the sequence number of the next request.
uint32_t ServeRequest(direct_world& world, uint32_t caller, uint32_t mark,
                      uint32_t sequence, uint32_t bytes, duration work,
                      time_point at) {
  world.SendPacket(caller, mark, sequence, 50, sequence * 100, at);
  world.SendPacket(caller, mark, sequence + 50, 0, sequence * 100 + bytes,
                   at + work);
  return sequence + 50;
}

// An upstream that fails its requests responds fast and must not attract flows.
TEST(DirectForwarder, AvoidsAnUpstreamWithShortErrorResponses) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  for (uint32_t caller : {1, 2}) {
    const verdict placed = OpenAndRequest(world, caller, AtMs(0));
    uint32_t sequence = 100;
    for (int64_t i = 0; i < 10; ++i)
      sequence = ServeRequest(world, caller, placed.mark, sequence, 1000, 20ms,
                              AtMs(100 + i * 100));
    for (int64_t i = 0; i < 4 && placed.upstream == 1; ++i)
      sequence = ServeRequest(world, caller, placed.mark, sequence, 150, 2ms,
                              AtMs(2000 + i * 40));
  }
  for (uint32_t caller = 3; caller < 13; ++caller) {
    const time_point at = AtMs(2200 + caller * 10);
    EXPECT_EQ(OpenAndRequest(world, caller, at).upstream, 2U);
  }
  // It receives new flows again some seconds after the last failure.
  EXPECT_EQ(world.SendOpening(13, AtMs(5200)).upstream, 1U);
}

// Routers may have moved the flow, so that the acknowledgement of its response
// passes through another balancer. A request that is pending here for a long
// time is therefore no reason for a reset.
TEST(DirectForwarder, NeverResetsAFlowForAPendingRequest) {
  direct_world world({MakeEntry(1)});
  for (uint32_t caller = 1; caller <= 8; ++caller)
    OpenAndRequest(world, caller, AtMs(0));
  uint32_t sequence = 150;
  for (int64_t ms : {400, 800, 1600}) {
    FailOverdueRequests(world.state.tracker, world.state.directory, AtMs(ms));
    const auto acknowledged = static_cast<uint32_t>(1000 + ms);
    EXPECT_EQ(
        world.SendPacket(1, ToFlowMark(1), sequence, 50, acknowledged, AtMs(ms))
            .action,
        verdict_action::kForward);
    sequence += 50;
  }
}

// A request that hangs, or whose flow the upstream has reset, never gets a
// response that the balancer can record.
TEST(DirectForwarder, AvoidsAnUpstreamWithOverdueRequests) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  for (uint32_t caller = 1; caller <= 8; ++caller) {
    const verdict placed = OpenAndRequest(world, caller, AtMs(0));
    if (placed.upstream == 2)
      world.SendPacket(caller, placed.mark, 150, 0, 1000, AtMs(30));
  }
  FailOverdueRequests(world.state.tracker, world.state.directory, AtMs(400));
  FailOverdueRequests(world.state.tracker, world.state.directory, AtMs(600));
  EXPECT_TRUE(IsFailing(world.Upstream(1).stats, AtMs(600)));
  EXPECT_FALSE(IsFailing(world.Upstream(2).stats, AtMs(600)));
  for (uint32_t caller = 9; caller < 14; ++caller)
    EXPECT_EQ(OpenAndRequest(world, caller, AtMs(600 + caller * 20)).upstream,
              2U);
}

}  // namespace
}  // namespace radishyard
