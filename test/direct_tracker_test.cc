// Tests the records of flows, the counts and response times derived from them,
// and the metrics page.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

/// Returns the number of recorded flows of each upstream.
std::map<upstream_id, uint32_t> CountFlowsByUpstream(
    const forwarding_state& state) {
  std::map<upstream_id, uint32_t> counts;
  for (const auto& [id, known] : state.directory.upstreams) counts[id] = 0;
  for (const auto& [key, flow] : state.tracker.flows)
    if (const known_upstream* u = FindByMark(state.directory, flow.mark))
      ++counts[u->entry.id];
  return counts;
}

/// True if `stats.flows` of each upstream equals the number of recorded flows.
bool HasMatchingFlowCounts(const forwarding_state& state) {
  for (const auto& [id, count] : CountFlowsByUpstream(state))
    if (state.directory.upstreams.at(id).stats.flows != count) return false;
  return true;
}

TEST(DirectTracker, MeasuresResponseTimesByAcknowledgements) {
  direct_world world({MakeEntry(1)});
  const verdict placed = world.SendOpening(1, AtMs(0));
  world.SendPacket(1, placed.mark, 100, 50, 1, AtMs(9));
  EXPECT_EQ(world.Upstream(1).stats.pending_requests, 1U);
  world.SendPacket(1, placed.mark, 150, 0, 900, AtMs(49));
  EXPECT_EQ(world.Upstream(1).stats.pending_requests, 0U);
  EXPECT_NEAR(world.Upstream(1).stats.mean_response_s, 0.040, 1e-6);
}

TEST(DirectTracker, MetricsPageHasHistogramsAndEachUpstream) {
  direct_world world({MakeEntry(1), MakeEntry(26, kRemoteDomain)});
  const verdict placed = world.SendOpening(1, AtMs(0));
  world.SendPacket(1, placed.mark, 100, 50, 1, AtMs(9));
  world.SendPacket(1, placed.mark, 150, 0, 900, AtMs(49));
  const std::string page = RenderMetricsPage({}, world.state, AtMs(1000));
  for (const char* line :
       {"radishyard_confirm_seconds_count 1",
        "radishyard_answer_seconds_count 1",
        "radishyard_answer_seconds_bucket{le=\"0.064\"} 1",
        "radishyard_answer_seconds_bucket{le=\"0.032\"} 0",
        "radishyard_upstream_flows{upstream=\"1\",service=\"survey-link\"} 1",
        "radishyard_upstream_flows{upstream=\"1a\",service=\"survey-link\"} 0",
        "radishyard_registry_age_seconds 1"})
    EXPECT_THAT(page, testing::HasSubstr(line));
}

// Guards against taking an upstream for alive that has been unresponsive for
// two seconds: if the acknowledgement of an earlier response went through
// another balancer, the next request is the first packet here that carries it.
TEST(DirectTracker, IgnoresAnAcknowledgementSentWithANewRequest) {
  direct_world world({MakeEntry(1)});
  const verdict placed = world.SendOpening(1, AtMs(0));
  world.SendPacket(1, placed.mark, 100, 50, 1, AtMs(9));
  world.SendOpening(2, AtMs(1000));
  world.SendPacket(1, placed.mark, 150, 50, 900, AtMs(2000));
  EXPECT_EQ(world.Upstream(1).stats.responses, 0U);
  EXPECT_EQ(world.Upstream(1).stats.unanswered, 1U);
  EXPECT_EQ(world.Upstream(1).stats.pending_requests, 1U);
}

TEST(DirectTracker, HandlesWrappingSequenceNumbers) {
  direct_world world({MakeEntry(1)});
  const verdict placed = world.SendOpening(1, AtMs(0));
  world.SendPacket(1, placed.mark, 0xFFFFFFF0, 0x20, 0xFFFFFFF8, AtMs(9));
  world.SendPacket(1, placed.mark, 0x10, 0, 0x10, AtMs(29));
  EXPECT_EQ(world.Upstream(1).stats.responses, 1U);
}

TEST(DirectTracker, RemovesAnEndedFlowForGood) {
  direct_world world({MakeEntry(1)});
  const verdict placed = world.SendOpening(1, AtMs(0));
  world.SendPacket(1, placed.mark, 100, 50, 1, AtMs(9));
  direct_packet end = direct_world::MakePacket(1, kIdempotentAddress);
  end.mark = placed.mark;
  end.sequence = 150;
  end.acknowledged = 900;
  end.has_fin = true;
  RoutePacket(world.state, end, AtMs(20));
  end.has_fin = false;  // The last acknowledgement follows.
  RoutePacket(world.state, end, AtMs(25));
  EXPECT_TRUE(world.state.tracker.flows.empty());
  EXPECT_EQ(world.Upstream(1).stats.flows, 0U);
}

TEST(DirectTracker, ExpiresIdleFlows) {
  direct_world world({MakeEntry(1)});
  const verdict placed = world.SendOpening(1, AtMs(0));
  world.SendPacket(1, placed.mark, 100, 50, 1, AtMs(9));
  EXPECT_EQ(ExpireIdleFlows(world.state.tracker, world.state.directory, 15s,
                            AtMs(15'000)),
            0U);
  EXPECT_EQ(ExpireIdleFlows(world.state.tracker, world.state.directory, 15s,
                            AtMs(15'010)),
            1U);
  EXPECT_EQ(world.Upstream(1).stats.flows, 0U);
}

TEST(DirectTracker, ForwardsFlowsBeyondItsLimitWithoutRecordingThem) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  world.state.tracker.max_flows = 10;
  for (uint32_t caller = 0; caller < 50; ++caller)
    EXPECT_EQ(world.SendOpening(caller, AtMs(0)).action,
              verdict_action::kForward);
  EXPECT_EQ(world.state.tracker.flows.size(), 10U);
  EXPECT_EQ(world.SendPacket(40, ToFlowMark(1), 1, 5, 1, AtMs(10)).action,
            verdict_action::kForward);
}

TEST(DirectTracker, FlowCountsMatchTheRecordedFlowsForAnyPackets) {
  rc::check("stats.flows counts the recorded flows of each upstream", [] {
    direct_world world(
        {MakeEntry(1), MakeEntry(2), MakeEntry(3, kRemoteDomain)});
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
        rc::gen::inRange<uint32_t>(0, 1U << 20));
    int64_t ms = 0;
    for (const uint32_t step : steps) {
      ms += step % 400;
      const uint32_t caller = step / 400 % 5;
      const uint32_t action = step / 2000 % 8;
      direct_packet p = direct_world::MakePacket(caller, kIdempotentAddress);
      p.is_opening = action < 2;
      p.retransmission_count = action;
      p.mark = p.is_opening ? 0 : ToFlowMark(1 + step / 16000 % 4);
      p.sequence = step / 64000 * 10;
      p.acknowledged = step / 64000 * 7;
      p.length = action == 3 ? 0 : 10;
      p.has_fin = action == 4;
      RoutePacket(world.state, p, AtMs(ms));
      if (action == 5)
        world.ApplyList({MakeEntry(1), MakeEntry(3, kRemoteDomain)}, AtMs(ms));
      if (action == 6)
        world.ApplyList(
            {MakeEntry(1), MakeEntry(2), MakeEntry(3, kRemoteDomain)},
            AtMs(ms));
      if (action == 7)
        ExpireIdleFlows(world.state.tracker, world.state.directory, 2s,
                        AtMs(ms));
      RC_ASSERT(HasMatchingFlowCounts(world.state));
    }
  });
}

}  // namespace
}  // namespace radishyard
