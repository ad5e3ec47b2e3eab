// Tests the measurement, pooling and decision of spill-over between failure
// domains: messages, ages, shares and the domains that get none.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "peer/peer_codec.h"
#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)
using testing::DoubleNear;
using testing::ElementsAre;
using testing::Field;

spill_input MakeInput(const char* domain, double demand, double slots = 40) {
  return {.domain = domain,
          .slots = slots,
          .demand = demand,
          .busy = demand,
          .is_known = true};
}

auto Shares(double a, double b, double c) {
  const auto is = [](double share) {
    return Field(&domain_share::share, DoubleNear(share, 1e-9));
  };
  return ElementsAre(is(a), is(b), is(c));
}

/// A sum of `domain` that has placed `busy` requests on its own upstreams.
domain_sum MakeSum(const char* domain, double busy, uint32_t age_ms = 0) {
  return {domain,
          age_ms,
          {{kService, domain, static_cast<uint32_t>(busy * 1000), 1000, 0}}};
}

TEST(SpillOver, AllFlowsStayInTheOwnDomainBelowTheThreshold) {
  EXPECT_THAT(
      ComputeShares({MakeInput("a", 28), MakeInput("b", 0), MakeInput("c", 0)},
                    "a"),
      Shares(1, 0, 0));
}

TEST(SpillOver, TheOverflowIsDividedBySpareCapacity) {
  // Overflow 42 - 28 = 14 of 42; spare capacity 18 and 9.
  EXPECT_THAT(
      ComputeShares(
          {MakeInput("a", 42), MakeInput("b", 10), MakeInput("c", 19)}, "a"),
      Shares(2.0 / 3, 2.0 / 9, 1.0 / 9));
}

// Guards against upstreams that are left idle while the own domain rejects: the
// domains need 90 of 120 slots, so each is filled to 0.75.
TEST(SpillOver, DomainsThatTogetherNeedMoreAreFilledAlike) {
  EXPECT_THAT(
      ComputeShares(
          {MakeInput("a", 70), MakeInput("b", 10), MakeInput("c", 10)}, "a"),
      Shares(3.0 / 7, 2.0 / 7, 2.0 / 7));
}

// If each took all the spare capacity that it sees, the third domain would be
// overloaded, both would withdraw, and so on. Together they need more than 0.8
// of the slots: 24 of 56 are overflow for each, and the third domain has 32.
TEST(SpillOver, TwoOverloadedDomainsDivideTheSpareCapacity) {
  const std::vector<spill_input> inputs{MakeInput("a", 56), MakeInput("b", 56),
                                        MakeInput("c", 0)};
  EXPECT_THAT(ComputeShares(inputs, "a"), Shares(5.0 / 7, 0, 2.0 / 7));
  EXPECT_THAT(ComputeShares(inputs, "b"), Shares(0, 5.0 / 7, 2.0 / 7));
}

TEST(SpillOver, ADomainOfUnknownLoadGetsASmallShareOnly) {
  spill_input unknown = MakeInput("c", 0);
  unknown.is_known = false;
  const auto shares =
      ComputeShares({MakeInput("a", 56), MakeInput("b", 10), unknown}, "a");
  EXPECT_LT(shares[2].share, 0.15 * shares[1].share);
  EXPECT_GT(shares[2].share, 0);
}

TEST(SpillOver, SilentRejectingAndUnusableDomainsGetNothing) {
  spill_input silent = MakeInput("b", 0);
  silent.is_silent = true;
  spill_input rejecting = MakeInput("b", 0);
  rejecting.failure_share = 0.3;
  for (const spill_input& b : {silent, MakeInput("b", 0, 0)})
    EXPECT_THAT(ComputeShares({MakeInput("a", 42), b, MakeInput("c", 10)}, "a"),
                Shares(2.0 / 3, 0, 1.0 / 3));
  // Together they need more than 0.8 of the slots. Its own overflow,
  // 40 / 0.7 - 32, gets a part of the 22 free slots of "c".
  const double part = 10 / (10 + 40 / 0.7 - 32) * 22 / 42;
  EXPECT_THAT(
      ComputeShares({MakeInput("a", 42), rejecting, MakeInput("c", 10)}, "a"),
      Shares(1 - part, 0, part));
}

TEST(SpillOver, WithoutUsableUpstreamsAllFlowsGoToOtherDomains) {
  EXPECT_THAT(
      ComputeShares(
          {MakeInput("a", 10, 0), MakeInput("b", 19), MakeInput("c", 10)}, "a"),
      Shares(0, 1.0 / 3, 2.0 / 3));
  spill_input unknown = MakeInput("b", 0);
  unknown.is_known = false;
  EXPECT_DOUBLE_EQ(ComputeShares({MakeInput("a", 0, 0), unknown}, "a")[1].share,
                   1);
}

TEST(SpillOver, RejectionsAreOverloadEvenIfFewRequestsAreInService) {
  spill_input own = MakeInput("a", 4);
  own.failure_share = 0.3;
  EXPECT_LT(ComputeShares({own, MakeInput("b", 0)}, "a")[0].share, 0.6);
}

// Guards against a division of 0 overflow by 0 demand, by which balancers of an
// idle domain sent all flows away as soon as another domain overflowed.
TEST(SpillOver, WithoutDemandOrAKnownLoadAllFlowsStayInTheOwnDomain) {
  spill_input unknown = MakeInput("a", 0);
  unknown.is_known = false;
  for (const spill_input& own : {MakeInput("a", 0), unknown})
    EXPECT_THAT(
        ComputeShares({own, MakeInput("b", 56), MakeInput("c", 0)}, "a"),
        Shares(1, 0, 0));
}

RC_GTEST_PROP(SpillOver, SharesAddUpToOneAndAreNeverNegative, ()) {
  const auto percent = rc::gen::inRange(0, 300);
  std::vector<spill_input> inputs;
  for (const char* domain : {"a", "b", "c"}) {
    inputs.push_back(MakeInput(domain, *percent, *rc::gen::inRange(0, 3) * 40));
    inputs.back().failure_share = *percent / 300.0;
    inputs.back().is_known = *rc::gen::arbitrary<bool>();
    inputs.back().is_silent = domain[0] != 'a' && *rc::gen::arbitrary<bool>();
  }
  const auto target = ComputeShares(inputs, "a");
  const auto smoothed = SmoothShares({{"a", 0.5}, {"b", 0.5}}, target, "a",
                                     milliseconds(*rc::gen::inRange(0, 5000)));
  for (const auto& shares : {target, smoothed}) {
    double sum = 0;
    for (const domain_share& s : shares) {
      RC_ASSERT(s.share >= 0);
      sum += s.share;
    }
    RC_ASSERT(std::abs(sum - 1) < 1e-9);
  }
}

// Guards against an overflow that never begins, because its part for each of
// many domains, or its first step, is too small to be kept.
TEST(SpillOver, ASmallOverflowReachesManyDomains) {
  std::vector<domain_share> shares{{"a", 1}};
  std::vector<domain_share> target{{"a", 0.98}};
  for (const char* domain : {"b", "c", "d", "e"}) {
    shares.push_back({domain, 0});
    target.push_back({domain, 0.005});
  }
  for (int i = 0; i < 20; ++i)
    shares = SmoothShares(shares, target, "a", 200ms);
  for (const domain_share& s : shares)
    EXPECT_NEAR(s.share, s.domain == "a" ? 0.98 : 0.005, 0.001);
}

// Guards against the last bytes between domains that never end.
TEST(SpillOver, AnOverflowThatIsOverEnds) {
  std::vector<domain_share> shares{{"a", 0.5}, {"b", 0.25}, {"c", 0.25}};
  const std::vector<domain_share> target{{"a", 1}, {"b", 0}, {"c", 0}};
  for (int i = 0; i < 60; ++i)
    shares = SmoothShares(shares, target, "a", 200ms);
  EXPECT_EQ(shares, target);
}

TEST(LoadPool, AnOlderSumNeverReplacesAFresherOne) {
  load_pool pool;
  EXPECT_TRUE(RecordSum(pool, MakeSum("b", 5, 500), AtMs(10'000)));
  EXPECT_FALSE(RecordSum(pool, MakeSum("b", 9, 800), AtMs(10'200)));
  EXPECT_EQ(FreshSums(pool, AtMs(10'500)).front().age_ms, 1000U);
  EXPECT_TRUE(FreshSums(pool, AtMs(12'600)).empty()) << "3.1 s old";
}

// Guards against a pool that sums of removed or invented domains fill for good.
TEST(LoadPool, ExpiredSumsAndMembersMakeRoom) {
  load_pool pool;
  for (int i = 0; i < 100; ++i)
    RecordSum(pool, MakeSum(std::to_string(i).c_str(), 5), AtMs(10'000));
  EXPECT_FALSE(RecordSum(pool, MakeSum("b", 5), AtMs(12'000)));
  EXPECT_TRUE(RecordSum(pool, MakeSum("b", 5), AtMs(13'001)));
  const load_report load{.interval_ms = 1000};
  for (uint16_t i = 0; i < 10; ++i)
    RecordMemberLoad(pool, {i, 2}, {load, 0, AtMs(10'000 + 4000 * i)});
  EXPECT_EQ(pool.members.size(), 1U);
}

TEST(LoadPool, AnEstimateIsScaledToTheMembersNotHeard) {
  load_pool pool;
  const load_report own{1000, {{kService, "a", 2000, 0, 0}}, {}};
  const load_report load{1000, {{kService, "a", 4000, 0, 0}}, {}};
  RecordMemberLoad(pool, {1, 2}, {load, 0, AtMs(9000)});
  const auto sum = EstimateSum(pool, "a", own, 3, AtMs(10'000));
  ASSERT_TRUE(sum);
  EXPECT_EQ(sum->samples.front().busy_milli, 12'000U);
  EXPECT_EQ(sum->age_ms, 500U);
  // Scaled up from one of a hundred, noise would look like overload.
  EXPECT_FALSE(EstimateSum(pool, "a", own, 99, AtMs(10'000)));
}

TEST(LoadPool, FlowsOfOtherBalancersLeaveOutTheOwnOnes) {
  direct_world world({MakeEntry(1), MakeEntry(2)});
  const load_report own{1000, {}, {1, 2}};
  ApplyUpstreamFlows(world.state.spill.pool, world.state.directory,
                     world.state.applied_list, own, {5, 2}, AtMs(0));
  EXPECT_EQ(world.Upstream(1).stats.peer_flows, 4U);
  EXPECT_EQ(world.Upstream(2).stats.peer_flows, 0U);
}

TEST(LoadMeter, MeasuresTheMeanOfRequestsInServiceWithoutOverdueOnes) {
  direct_world world({MakeEntry(1), MakeEntry(2, kRemoteDomain)});
  load_meter meter;
  upstream_stats& stats = world.state.directory.upstreams.at(2).stats;
  for (int i = 0; i < 4; ++i) {
    stats.pending_requests = i < 2 ? 3 : 0;
    stats.overdue_requests = i < 2 ? 1 : 0;
    SampleLoad(meter, world.state.directory, 25ms, AtMs(1000 + 200 * i));
  }
  const load_report report = ExtractLoadReport(
      meter, world.state.directory, world.state.applied_list, AtMs(2000));
  ASSERT_EQ(report.samples.size(), 1U);
  EXPECT_EQ(report.samples[0].domain, kRemoteDomain);
  EXPECT_EQ(report.samples[0].busy_milli, 1000U);
  EXPECT_EQ(report.upstream_flows.size(), 2U);
}

TEST(LoadNotice, SurvivesTheWire) {
  const load_notice notice{.sender = {{1, 2}, "a", 3},
                           .sums = {MakeSum("a", 5, 7)},
                           .list_digest = 8,
                           .upstream_flows = {9, 1000}};
  failure why;
  const auto frame = EncodeFrame(notice, why);
  ASSERT_TRUE(frame);
  const auto decoded = DecodePayload(frame->substr(kFrameLengthBytes), why);
  ASSERT_TRUE(decoded) << why.text;
  EXPECT_EQ(std::get<load_notice>(*decoded), notice);
}

// A partition must cost each balancer one opening, not one for each upstream.
TEST(SilentDomain, IsLeftAfterOneUnansweredOpening) {
  direct_world world(
      {MakeEntry(1, kRemoteDomain), MakeEntry(2, kRemoteDomain)});
  const auto& upstreams = world.state.directory.ready_by_service.at(kService);
  upstream_stats& first = world.state.directory.upstreams.at(1).stats;
  RecordOpening(first, AtMs(1000));
  const auto is_silent = [&](int64_t ms) {
    return IsDomainSilent(upstreams, kRemoteDomain, 25ms, AtMs(ms));
  };
  EXPECT_FALSE(is_silent(1020));
  EXPECT_TRUE(is_silent(1030));
  EXPECT_FALSE(is_silent(1260)) << "a probe is due";
  RecordAlive(world.state.directory.upstreams.at(2).stats, AtMs(1040));
  EXPECT_FALSE(is_silent(1050)) << "only the first upstream is down";
}

TEST(SpillOver, IsOffByDefault) {
  direct_world world({MakeEntry(1), MakeEntry(2, kRemoteDomain)});
  forwarding_state& state = world.state;
  state.spill.services = {{kService, {{kRemoteDomain, 1.0}}}};
  EXPECT_EQ(SelectDomain(state.spill, state.directory, kService, kLocalDomain,
                         7, 25ms, AtMs(0))
                .domain,
            kLocalDomain);
  EXPECT_TRUE(UpdateLoads(state, AtMs(0)).empty());
  EXPECT_EQ(MeasureLoad(state, AtMs(0)), load_report{});
}

}  // namespace
}  // namespace radishyard
