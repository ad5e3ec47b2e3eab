// Tests the shared evidence of silent upstreams: a balancer that loses packets
// on its own link resets no flow, and a dead upstream is recognised as soon as
// two balancers observe it.
#include "direct/forward/silence.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "direct/forward/placement.h"
#include "peer/peer_codec.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

constexpr endpoint kPeer{0x0A000001, 7460};
constexpr endpoint kOtherPeer{0x0A000002, 7460};

constexpr uint32_t kOtherCaller = 0x64400063;

/// A notice about upstream 1, to which `callers` have retransmitted repeatedly.
silence_notice MakeNotice(const endpoint& sender, uint32_t age_ms,
                          std::vector<uint32_t> callers = {kOtherCaller}) {
  return {.sender = sender, .silent = {{1, age_ms, std::move(callers)}}};
}

/// A balancer with other members in its domain. Caller 1 has a flow on upstream
/// 1, and its request of 1,000 ms gets no acknowledgement.
struct waiting_world : direct_world {
  waiting_world() : direct_world({MakeEntry(1), MakeEntry(2)}) {
    state.has_peers = true;
    SendOpening(1, AtMs(0));
    SendPacket(1, mark, 100, 50, 1, AtMs(10));
    SendPacket(1, mark, 150, 0, 500, AtMs(30));
    SendRequest(AtMs(1000));
  }

  /// Sends the request or a retransmission of it.
  verdict_action SendRequest(time_point now) {
    return SendPacket(1, mark, 150, 50, 500, now).action;
  }

  const uint32_t mark = ToFlowMark(1);
};

// The pattern seen on VMs with a narrow link: while a balancer serves its view
// to others, its packets to upstreams are dropped for most of a second. Callers
// retransmit twice although their upstreams are alive.
TEST(Silence, ABalancerThatLosesItsOwnPacketsResetsNoFlow) {
  waiting_world world;
  for (int64_t ms : {1200, 1600, 2400})
    EXPECT_EQ(world.SendRequest(AtMs(ms)), verdict_action::kForward);
  ASSERT_TRUE(IsUnresponsive(world.Upstream(1).stats, AtMs(2400)));
}

TEST(Silence, AWitnessConfirmsADeadUpstream) {
  waiting_world world;
  world.SendRequest(AtMs(1200));
  EXPECT_FALSE(
      ApplySilenceNotice(world.state, MakeNotice(kPeer, 300), AtMs(1450)));
  EXPECT_EQ(world.SendRequest(AtMs(1600)), verdict_action::kRefuse);
}

// The flows of one office are spread over all balancers, and its lossy link
// looked like the silence of an upstream to two of them.
TEST(Silence, AWitnessOfTheSameCallerConfirmsNothing) {
  const uint32_t caller =
      waiting_world::MakePacket(1, kPeer).flow.caller.address;
  for (const bool is_known : {true, false}) {
    std::vector<uint32_t> callers;
    if (is_known) callers.push_back(caller);
    waiting_world world;
    world.SendRequest(AtMs(1200));
    ApplySilenceNotice(world.state, MakeNotice(kPeer, 300, callers),
                       AtMs(1450));
    EXPECT_EQ(world.SendRequest(AtMs(1600)), verdict_action::kForward);
  }
}

TEST(Silence, ANoticeNamesTheCallersThatRetransmittedRepeatedly) {
  waiting_world world;
  world.SendRequest(AtMs(1200));
  const auto first = MakeSilenceNotice(world.state, 1, AtMs(1200));
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->silent.front().callers.empty());
  world.SendRequest(AtMs(1600));
  const auto second = MakeSilenceNotice(world.state, 1, AtMs(1600));
  ASSERT_TRUE(second);
  const uint32_t caller =
      waiting_world::MakePacket(1, kPeer).flow.caller.address;
  EXPECT_EQ(second->silent.front().callers, std::vector<uint32_t>{caller});
}

TEST(Silence, AWitnessAloneIsNoReasonToReset) {
  waiting_world world;
  ApplySilenceNotice(world.state, MakeNotice(kPeer, 300), AtMs(1100));
  ApplySilenceNotice(world.state, MakeNotice(kOtherPeer, 300), AtMs(1100));
  EXPECT_EQ(world.SendRequest(AtMs(1200)), verdict_action::kForward);
}

TEST(Silence, AWitnessCountsForALimitedTime) {
  waiting_world world;
  world.SendRequest(AtMs(1200));
  ApplySilenceNotice(world.state, MakeNotice(kPeer, 300), AtMs(1300));
  world.SendRequest(AtMs(1600));
  EXPECT_EQ(world.SendRequest(AtMs(2400)), verdict_action::kForward);
}

TEST(Silence, AWitnessOfEarlierSilenceDoesNotCount) {
  waiting_world world;
  world.SendRequest(AtMs(1200));
  // The silence began at 0 ms; the upstream showed a sign of life here at 30.
  EXPECT_TRUE(
      ApplySilenceNotice(world.state, MakeNotice(kPeer, 1300), AtMs(1300)));
  EXPECT_EQ(world.SendRequest(AtMs(1600)), verdict_action::kForward);
}

// A member on whose link packets are lost tells the others; one of them has
// just seen the upstream answer.
TEST(Silence, ASignOfLifeElsewhereContradictsANotice) {
  waiting_world accuser;
  accuser.SendRequest(AtMs(1200));
  const auto notice = MakeSilenceNotice(accuser.state, 1, AtMs(1200));
  ASSERT_TRUE(notice);
  direct_world other({MakeEntry(1)});
  const verdict placed = other.SendOpening(5, AtMs(1090));
  other.SendPacket(5, placed.mark, 100, 50, 1, AtMs(1100));
  const auto reply = ApplySilenceNotice(other.state, *notice, AtMs(1202));
  ASSERT_TRUE(reply);
  EXPECT_EQ(other.state.silences,
            (silence_counters{.received = 1, .contradicted = 1}));
  EXPECT_EQ(accuser.state.silences, (silence_counters{.sent = 1}));
  ApplySilenceNotice(accuser.state, *reply, AtMs(1204));
  EXPECT_EQ(accuser.Upstream(1).stats.max_retransmissions, 0U);
  ApplySilenceNotice(accuser.state, MakeNotice(kPeer, 100), AtMs(1500));
  EXPECT_EQ(accuser.SendRequest(AtMs(1600)), verdict_action::kForward);
}

TEST(Silence, ABalancerWithoutOthersReliesOnTwoOfItsCallers) {
  waiting_world world;
  world.state.has_peers = false;
  world.SendRequest(AtMs(1200));
  EXPECT_EQ(world.SendRequest(AtMs(1600)), verdict_action::kForward);
  verdict_action last = verdict_action::kDrop;
  for (int64_t ms : {1100, 1300, 1700})
    last = world.SendPacket(2, world.mark, 100, 50, 1, AtMs(ms)).action;
  EXPECT_EQ(last, verdict_action::kRefuse);
}

TEST(Silence, NoticesAreLimitedAndNeedARetransmission) {
  waiting_world world;
  EXPECT_FALSE(MakeSilenceNotice(world.state, 1, AtMs(1100)));
  world.SendRequest(AtMs(1200));
  EXPECT_TRUE(MakeSilenceNotice(world.state, 1, AtMs(1200)));
  EXPECT_FALSE(MakeSilenceNotice(world.state, 1, AtMs(1250)));
  EXPECT_TRUE(MakeSilenceNotice(world.state, 1, AtMs(1300)));
  EXPECT_FALSE(MakeSilenceNotice(world.state, 99, AtMs(1300)));
}

TEST(Silence, WitnessesAreBoundedAndCountedOnceEach) {
  direct_world world({MakeEntry(1)});
  for (uint32_t peer = 1; peer <= 20; ++peer)
    for (int repeat = 0; repeat < 2; ++repeat)
      ApplySilenceNotice(world.state, MakeNotice({peer, 1}, 100), AtMs(500));
  EXPECT_EQ(CountWitnesses(world.Upstream(1), AtMs(500)), kMaxSilenceWitnesses);
  EXPECT_EQ(CountWitnesses(world.Upstream(1), AtMs(1600)), 0U);
}

// At the size of hundreds of VMs a balancer has no flow on most upstreams, so
// without the others it would learn of a dead one only by its own openings.
TEST(Silence, NewFlowsAvoidAnUpstreamThatTwoOthersObserveSilent) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  ApplySilenceNotice(world.state, MakeNotice(kPeer, 100), AtMs(500));
  ApplySilenceNotice(world.state, MakeNotice(kOtherPeer, 100), AtMs(500));
  for (uint32_t caller = 1; caller < 20; ++caller)
    EXPECT_EQ(world.SendOpening(caller, AtMs(600)).upstream, 2U);
}

TEST(Silence, ARestartedUpstreamHasNoWitnesses) {
  direct_world world({MakeEntry(1)});
  ApplySilenceNotice(world.state, MakeNotice(kPeer, 100), AtMs(500));
  upstream_entry restarted = MakeEntry(1);
  restarted.started_unix_ms = 9999;
  world.ApplyList({restarted}, AtMs(600));
  EXPECT_EQ(CountWitnesses(world.Upstream(1), AtMs(600)), 0U);
}

TEST(Silence, ANoticeKeepsItsValuesThroughTheCodec) {
  const silence_notice notice{.sender = kPeer,
                              .silent = {{7, 250, {kOtherCaller}}},
                              .alive = {{8, 3}, {9, 0}}};
  failure why;
  const auto frame = EncodeFrame(notice, why);
  ASSERT_TRUE(frame);
  const auto decoded = DecodePayload(frame->substr(kFrameLengthBytes), why);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<silence_notice>(*decoded), notice);
}

// Model: whatever order packets and notices come in, a flow is reset only if
// its caller retransmitted twice, another balancer observed silence within
// kWitnessRetention, and neither has seen a sign of life since.
RC_GTEST_PROP(Silence, NeverResetsOnOneWitnessOrAfterASignOfLife, ()) {
  waiting_world world;
  int64_t now_ms = 1000;
  int64_t life_ms = 30;
  int64_t witness_ms = -10'000;
  int64_t witness_since_ms = -10'000;
  int retransmissions = 0;
  for (int step = 0; step < 40; ++step) {
    now_ms += *rc::gen::inRange<int64_t>(1, 500);
    const time_point now = AtMs(now_ms);
    switch (*rc::gen::inRange(0, 4)) {
      case 0: {
        ++retransmissions;
        if (world.SendRequest(now) != verdict_action::kRefuse) break;
        RC_ASSERT(retransmissions >= 2);
        RC_ASSERT(now_ms - witness_ms <= ToMs(kWitnessRetention));
        RC_ASSERT(witness_since_ms + 20 >= life_ms);
        return;
      }
      case 1: {
        const auto age = *rc::gen::inRange<uint32_t>(0, 800);
        const auto reply =
            ApplySilenceNotice(world.state, MakeNotice(kPeer, age), now);
        if (reply) break;
        witness_ms = now_ms;
        witness_since_ms = now_ms - age;
        break;
      }
      case 2: {
        const auto age = *rc::gen::inRange<uint32_t>(0, 300);
        silence_notice alive{.sender = kPeer};
        alive.alive.push_back({1, age});
        const uint32_t before = world.Upstream(1).stats.unanswered;
        ApplySilenceNotice(world.state, alive, now);
        const bool is_applied =
            before > 0 && world.Upstream(1).stats.unanswered == 0;
        if (!is_applied) break;
        retransmissions = 0;
        life_ms = now_ms;
        break;
      }
      default:
        break;
    }
  }
}

}  // namespace
}  // namespace radishyard
