// Tests the decisions of admission control: properties of thresholds and of
// single decisions.
#include "direct/load/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "direct/load/admission_report.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

const time_point kNow = AtMs(100'000);
constexpr endpoint kHigh{1, 7001}, kLow{1, 7000}, kLight{1, 7002};

/// Three addresses of one service: one of priority 1 and two of priority 2.
routing_table MakeTable() {
  const auto row = [](const endpoint& address, uint8_t priority,
                      duration target) {
    return published_address{.address = address,
                             .shares = {{kService, 1}},
                             .timeout = 4s,
                             .target_latency = target,
                             .priority = priority};
  };
  return {.version = 1,
          .addresses = {row(kLow, 2, 500ms), row(kHigh, 1, 600ms),
                        row(kLight, 2, 1200ms)}};
}

/// Long enough for a balancer to learn the classes.
constexpr duration kQuietTime = 4s;

/// The threshold after loads of `utilization` have been seen for `seen_for`,
/// and quiet ones for `quiet_for` before.
service_admission MakeAdmission(double utilization, double failures_per_s = 0,
                                duration age = 1s, duration seen_for = 10s,
                                duration quiet_for = kQuietTime) {
  address_demands demands;
  const std::vector<std::pair<endpoint, double>> works{
      {kLow, 0.05}, {kHigh, 0.06}, {kLight, 0.004}};
  for (const auto& [address, work_s] : works) {
    RecordOfferedOpening(demands, address, kNow);
    RecordWork(demands, address,
               std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(work_s)),
               false);
  }
  service_admissions admissions;
  const time_point rise = kNow - seen_for;
  for (time_point at = rise - quiet_for; at <= kNow; at += 200ms) {
    const bool is_quiet = at < rise;
    const load_view view{
        {{kService, kLocalDomain, 100, is_quiet ? 50 : 100 * utilization,
          is_quiet ? 0 : failures_per_s, at - age}}};
    UpdateAdmissions(admissions, MakeTable(), demands, view, at);
  }
  return admissions.at(kService);
}

flow_key MakeFlow(uint32_t caller, const endpoint& to, uint16_t port = 4096) {
  return {{caller, port}, to, protocol::kTcp};
}

admission_action Decide(const service_admission& admission, uint32_t caller,
                        const endpoint& to, uint32_t copy = 0,
                        time_point now = kNow) {
  const routing_table table = MakeTable();
  return DecideAdmission(admission, *FindAddress(table, to),
                         MakeFlow(caller, to), copy, now);
}

/// Part of the first copies of 4,000 openings that are placed.
double PlacedPart(const service_admission& admission, const endpoint& to) {
  int placed = 0;
  for (uint32_t caller = 0; caller < 4000; ++caller)
    placed += Decide(admission, caller, to) == admission_action::kPlace ? 1 : 0;
  return placed / 4000.0;
}

// Guards against a part that throttles while the service has room, or on loads
// that no longer hold.
RC_GTEST_PROP(Admission, PlacesEverythingWithRoomOrWithoutRecentLoads,
              (uint32_t caller)) {
  const double room = *rc::gen::inRange(0, 200) / 100.0;
  const double any = *rc::gen::inRange(0, 1000) / 100.0;
  RC_ASSERT(Decide(MakeAdmission(room), caller, kLow) ==
            admission_action::kPlace);
  RC_ASSERT(Decide(MakeAdmission(any, 0, 3001ms), caller, kLow) ==
            admission_action::kPlace);
  RC_ASSERT(Decide(MakeAdmission(any), caller, kLow, 0, kNow + 2001ms) ==
            admission_action::kPlace);
  RC_ASSERT(Decide({}, caller, kLow) == admission_action::kPlace);
}

// Guards against a higher priority that is refused before a lower one, and
// against a class that gets nothing.
RC_GTEST_PROP(Admission, HigherPriorityAndLessWorkComeFirstAndNoneIsStarved,
              ()) {
  const service_admission a = MakeAdmission(
      *rc::gen::inRange(200, 1000) / 100.0, *rc::gen::inRange(0, 10'000));
  const double high = PlacedPart(a, kHigh);
  const double light = PlacedPart(a, kLight);
  const double low = PlacedPart(a, kLow);
  RC_ASSERT(high + 0.02 >= light);
  RC_ASSERT(light + 0.02 >= low);
  RC_ASSERT(low > 0.01);
  RC_ASSERT(high == 1 || low < 0.05);
}

// Guards against a threshold that reacts to more load by admitting more.
RC_GTEST_PROP(Admission, MorePressureAdmitsASubset, (uint32_t caller)) {
  const double less = *rc::gen::inRange(200, 1000) / 100.0;
  const double more = less + *rc::gen::inRange(0, 300) / 100.0;
  if (Decide(MakeAdmission(more), caller, kLow) == admission_action::kPlace)
    RC_ASSERT(Decide(MakeAdmission(less), caller, kLow) ==
              admission_action::kPlace);
}

// Guards against an opening that is held and then refused, and against a caller
// that is refused and admitted in turns.
RC_GTEST_PROP(Admission, HeldOpeningsArePlacedAndRetriesDecidedAlike,
              (uint32_t caller)) {
  const service_admission before =
      MakeAdmission(*rc::gen::inRange(200, 500) / 100.0);
  const service_admission after =
      MakeAdmission(*rc::gen::inRange(200, 500) / 100.0);
  const admission_action first = Decide(before, caller, kLow);
  if (first == admission_action::kDelay)
    RC_ASSERT(Decide(after, caller, kLow, 1) == admission_action::kPlace);
  const routing_table table = MakeTable();
  for (const uint16_t port : {4097, 4098})
    RC_ASSERT(DecideAdmission(before, *FindAddress(table, kLow),
                              MakeFlow(caller, kLow, port), 0, kNow) == first);
}

// Guards against holding an opening whose caller has given up by the response.
TEST(Admission, RefusesWhatCannotBeServedInItsTime) {
  service_admission a = MakeAdmission(10, 1000);
  for (admission_class& c : a.classes) c.work_s = 0.5;
  EXPECT_EQ(Decide(a, 1, kHigh), admission_action::kRefuse);
  EXPECT_EQ(Decide(a, 1, kHigh, 2), admission_action::kRefuse);
}

// Guards against refusals of a class whose requests need much work, although
// what waits before them needs little.
TEST(Admission, TheWaitIsThatOfTheRequestsBefore) {
  service_admission a = MakeAdmission(5, 0);
  for (admission_class& c : a.classes)
    c.work_s = c.address == kHigh ? 1.0 : 0.01;
  EXPECT_EQ(Decide(a, 1, kHigh), admission_action::kPlace);
}

// Guards against times out of range, which would be negative, where a sum of
// another balancer is absurd.
TEST(Admission, AnAbsurdUtilizationIsNoRoom) {
  service_admission a = MakeAdmission(10, 1000);
  a.evidence.utilization = 1e30;
  EXPECT_EQ(Decide(a, 1, kHigh), admission_action::kRefuse);
}

// Guards against an infinite mean after the count of samples has wrapped.
TEST(Admission, TheMeanWorkStaysFiniteAfterManySamples) {
  address_demands demands;
  demands[kHigh] = {.work_s = 0.02, .work_samples = UINT32_MAX};
  RecordWork(demands, kHigh, 40ms, false);
  EXPECT_NEAR(demands[kHigh].work_s, 0.0201, 1e-9);
}

// Guards against a pause of the process that counts as work of the requests
// that were in service before it.
TEST(Admission, APauseIsNoWork) {
  direct_world world({MakeEntry(1)});
  address_demands& demands = world.state.tracker.demands;
  RecordOfferedOpening(demands, kIdempotentAddress, AtMs(0));
  const auto work_after = [&](uint32_t caller, int64_t sent, int64_t answered) {
    const uint32_t mark = world.SendOpening(caller, AtMs(sent)).mark;
    world.SendPacket(caller, mark, 1, 300, 1, AtMs(sent));
    world.SendPacket(caller, mark, 301, 0, 2000, AtMs(answered));
    return demands.at(kIdempotentAddress).work_s;
  };
  EXPECT_NEAR(work_after(1, 1000, 1040), 0.04, 1e-9);
  world.state.tracker.resumed_at = AtMs(9000);
  EXPECT_NEAR(work_after(2, 2000, 9001), 0.04, 1e-9);
}

// Guards against throttling on requests that a domain without any usable
// upstream has left behind.
TEST(Admission, ADomainWithoutUsableSlotsIsNoOverload) {
  service_admissions admissions;
  const load_view view{{{kService, kLocalDomain, 100, 100, 0, kNow},
                        {kService, kRemoteDomain, 0, 500, 0, kNow}}};
  UpdateAdmissions(admissions, MakeTable(), {}, view, kNow);
  EXPECT_FALSE(IsOverloaded(admissions.at(kService), kNow));
  EXPECT_EQ(admissions.at(kService).evidence.utilization, 1);
}

// Guards against a threshold that jumps with a single sample.
TEST(Admission, TheThresholdMovesSmoothly) {
  EXPECT_GT(MakeAdmission(5, 0, 1s, 0s).admitted, 0.1);
  service_admissions admissions{{kService, MakeAdmission(1)}};
  const load_view full{{{kService, kLocalDomain, 100, 500, 5000, kNow}}};
  UpdateAdmissions(admissions, MakeTable(), {}, full, kNow + 200ms);
  EXPECT_GT(admissions.at(kService).admitted, 0.9);
}

// Guards against requests on open flows that keep the pressure up, whatever is
// refused, and then turn away the highest priority as well.
RC_GTEST_PROP(Admission, TheHighestPriorityHasHeadroomAtAnyPressure,
              (uint32_t caller)) {
  const double utilization = *rc::gen::inRange(100, 2000) / 100.0;
  const service_admission a = MakeAdmission(utilization, 5000);
  RC_ASSERT(Decide(a, caller, kHigh) == admission_action::kPlace);
}

// Guards against refusals while the overflow of a crowded domain still finds
// room in another one.
TEST(Admission, NothingIsThrottledWhileOneDomainHasRoom) {
  service_admissions admissions;
  const load_view view{{{kService, "crowded", 100, 500, 2000, kNow},
                        {kService, "other", 100, 110, 0, kNow}}};
  for (int i = 0; i < 20; ++i)
    UpdateAdmissions(admissions, MakeTable(), {}, view, kNow + i * 100ms);
  EXPECT_EQ(admissions.at(kService).admitted, 1);
}

// Guards against a restart of all balancers, after which all callers open at
// once for a moment and the first load that is heard shows full queues.
TEST(Admission, AFirstSampleRefusesNothing) {
  service_admissions admissions;
  const load_view full{{{kService, kLocalDomain, 100, 500, 5000, kNow}}};
  UpdateAdmissions(admissions, MakeTable(), {}, full, kNow);
  EXPECT_EQ(admissions.at(kService).admitted, 1);
}

// Guards against refusals by a balancer that has started in a peak, as after a
// power loss, and does not know the classes.
TEST(Admission, NothingIsRefusedBeforeTheClassesAreLearned) {
  const auto refuses = [](duration quiet_for) {
    const service_admission a = MakeAdmission(5, 5000, 1s, 10s, quiet_for);
    EXPECT_LT(a.admitted, 0.6);
    return PlacedPart(a, kLow) < 1;
  };
  EXPECT_FALSE(refuses(0s));
  EXPECT_FALSE(refuses(2s));
  EXPECT_TRUE(refuses(4s));
}

// Guards against a gap in the loads that starts the learning time anew.
TEST(Admission, TheLearningTimeOutlastsAGapInTheLoads) {
  service_admissions admissions{{kService, MakeAdmission(1)}};
  UpdateAdmissions(admissions, MakeTable(), {}, {}, kNow + 1s);
  EXPECT_FALSE(admissions.at(kService).is_known);
  const load_view full{{{kService, kLocalDomain, 100, 500, 5000, kNow + 9s}}};
  for (time_point at = kNow + 7s; at <= kNow + 9s; at += 200ms)
    UpdateAdmissions(admissions, MakeTable(), {}, full, at);
  EXPECT_TRUE(IsOverloaded(admissions.at(kService), kNow + 9s));
}

// Guards against refusals after a peak, while slots are free.
TEST(Admission, EverythingIsAdmittedOnceSlotsAreFree) {
  service_admissions admissions{{kService, MakeAdmission(5, 5000)}};
  ASSERT_LT(admissions.at(kService).admitted, 0.6);
  const load_view free{{{kService, kLocalDomain, 100, 60, 0, kNow}}};
  UpdateAdmissions(admissions, MakeTable(), {}, free, kNow + 200ms);
  EXPECT_EQ(admissions.at(kService).admitted, 1);
}

// Guards against a line a packet, and against counts that are lost.
TEST(Admission, SummarizesOnceASecondWhileOverloaded) {
  admission_report report;
  service_admissions admissions{{kService, MakeAdmission(4)}};
  for (const auto action :
       {admission_action::kPlace, admission_action::kRefuse})
    for (int i = 0; i < 3; ++i) RecordDecision(report, kService, 2, action);
  const auto lines = TakeSummaries(report, admissions, kNow);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0].decisions, "p2:3/0/3");
  EXPECT_EQ(lines[0].evidence.age, 1s);
  EXPECT_TRUE(TakeSummaries(report, admissions, kNow + 900ms).empty());
  admissions[kService] = MakeAdmission(1);
  EXPECT_EQ(TakeSummaries(report, admissions, kNow + 1s).size(), 1U)
      << "the end of the overload";
  EXPECT_TRUE(TakeSummaries(report, admissions, kNow + 2s).empty());
}

}  // namespace
}  // namespace radishyard
