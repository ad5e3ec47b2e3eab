// The bounded memory of flows and its counts.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct;  // NOLINT(google-build-using-namespace)

/// Flows that the tracker has on each upstream.
std::map<upstream_id, uint32_t> FlowsByUpstream(const forwarding_state& state) {
  std::map<upstream_id, uint32_t> counts;
  for (const auto& [id, known] : state.directory.upstreams) counts[id] = 0;
  for (const auto& [key, flow] : state.tracker.flows)
    if (const known_upstream* u = FindByMark(state.directory, flow.mark))
      ++counts[u->entry.id];
  return counts;
}

bool CountsAgree(const forwarding_state& state) {
  for (const auto& [id, count] : FlowsByUpstream(state))
    if (state.directory.upstreams.at(id).stats.flows != count) return false;
  return true;
}

TEST(DirectTracker, TimesAnswersByTheCallersAcknowledgement) {
  direct_world world({Entry(1)});
  const verdict placed = world.Open(1, AtMs(0));
  world.Send(1, placed.mark, 100, 50, 1, AtMs(9));
  EXPECT_EQ(world.Known(1).stats.pending_requests, 1U);
  world.Send(1, placed.mark, 150, 0, 900, AtMs(49));
  EXPECT_EQ(world.Known(1).stats.pending_requests, 0U);
  EXPECT_NEAR(world.Known(1).stats.mean_response_s, 0.040, 1e-6);
}

TEST(DirectTracker, MetricsPageHasHistogramsAndEachUpstream) {
  direct_world world({Entry(1), Entry(26, kAway)});
  const verdict placed = world.Open(1, AtMs(0));
  world.Send(1, placed.mark, 100, 50, 1, AtMs(9));
  world.Send(1, placed.mark, 150, 0, 900, AtMs(49));
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

// Found by an incident: the acknowledgement of an old answer came with the next
// request, for its own had gone through another balancer, and an upstream that
// had been silent for two seconds passed for alive.
TEST(DirectTracker, AcknowledgementWithANewRequestIsNoSignOfLife) {
  direct_world world({Entry(1)});
  const verdict placed = world.Open(1, AtMs(0));
  world.Send(1, placed.mark, 100, 50, 1, AtMs(9));
  world.Open(2, AtMs(1000));
  world.Send(1, placed.mark, 150, 50, 900, AtMs(2000));
  EXPECT_EQ(world.Known(1).stats.responses, 0U);
  EXPECT_EQ(world.Known(1).stats.unanswered, 1U);
  EXPECT_EQ(world.Known(1).stats.pending_requests, 1U);
}

TEST(DirectTracker, SequenceNumbersWrap) {
  direct_world world({Entry(1)});
  const verdict placed = world.Open(1, AtMs(0));
  world.Send(1, placed.mark, 0xFFFFFFF0, 0x20, 0xFFFFFFF8, AtMs(9));
  world.Send(1, placed.mark, 0x10, 0, 0x10, AtMs(29));
  EXPECT_EQ(world.Known(1).stats.responses, 1U);
}

TEST(DirectTracker, EndedFlowIsForgottenAndStaysSo) {
  direct_world world({Entry(1)});
  const verdict placed = world.Open(1, AtMs(0));
  world.Send(1, placed.mark, 100, 50, 1, AtMs(9));
  direct_packet end = direct_world::Packet(1, kFeedAddress);
  end.mark = placed.mark;
  end.sequence = 150;
  end.acknowledged = 900;
  end.has_fin = true;
  RoutePacket(world.state, end, AtMs(20));
  end.has_fin = false;  // The last acknowledgement follows.
  RoutePacket(world.state, end, AtMs(25));
  EXPECT_TRUE(world.state.tracker.flows.empty());
  EXPECT_EQ(world.Known(1).stats.flows, 0U);
}

TEST(DirectTracker, IdleFlowsAreForgotten) {
  direct_world world({Entry(1)});
  const verdict placed = world.Open(1, AtMs(0));
  world.Send(1, placed.mark, 100, 50, 1, AtMs(9));
  EXPECT_EQ(ExpireIdleFlows(world.state.tracker, world.state.directory, 15s,
                            AtMs(15'000)),
            0U);
  EXPECT_EQ(ExpireIdleFlows(world.state.tracker, world.state.directory, 15s,
                            AtMs(15'010)),
            1U);
  EXPECT_EQ(world.Known(1).stats.flows, 0U);
}

TEST(DirectTracker, ForwardsBeyondItsLimitWithoutRemembering) {
  direct_world world({Entry(1), Entry(2)});
  world.state.tracker.max_flows = 10;
  for (uint32_t caller = 0; caller < 50; ++caller)
    EXPECT_EQ(world.Open(caller, AtMs(0)).action, verdict_action::kForward);
  EXPECT_EQ(world.state.tracker.flows.size(), 10U);
  EXPECT_EQ(world.Send(40, ToFlowMark(1), 1, 5, 1, AtMs(10)).action,
            verdict_action::kForward);
}

TEST(DirectTracker, CountsHoldUnderAnySequenceOfPackets) {
  rc::check("load.flows counts the tracked flows of each upstream", [] {
    direct_world world({Entry(1), Entry(2), Entry(3, kAway)});
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
        rc::gen::inRange<uint32_t>(0, 1U << 20));
    int64_t ms = 0;
    for (const uint32_t step : steps) {
      ms += step % 400;
      const uint32_t caller = step / 400 % 5;
      const uint32_t what = step / 2000 % 8;
      direct_packet p = direct_world::Packet(caller, kFeedAddress);
      p.is_opening = what < 2;
      p.retransmission_count = what;
      p.mark = p.is_opening ? 0 : ToFlowMark(1 + step / 16000 % 4);
      p.sequence = step / 64000 * 10;
      p.acknowledged = step / 64000 * 7;
      p.length = what == 3 ? 0 : 10;
      p.has_fin = what == 4;
      RoutePacket(world.state, p, AtMs(ms));
      if (what == 5) world.List({Entry(1), Entry(3, kAway)}, AtMs(ms));
      if (what == 6)
        world.List({Entry(1), Entry(2), Entry(3, kAway)}, AtMs(ms));
      if (what == 7)
        ExpireIdleFlows(world.state.tracker, world.state.directory, 2s,
                        AtMs(ms));
      RC_ASSERT(CountsAgree(world.state));
    }
  });
}

}  // namespace
}  // namespace radishyard
