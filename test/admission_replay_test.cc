// Replays overload with several balancers: balancers are forwarding_state
// structs, upstreams queue 8 requests behind 2 slots and reject what exceeds
// them, and callers retry as docs/hard-load.md states. All requests are those
// of the second customer.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "support/direct_world.h"
#include "support/timer_queue.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

constexpr size_t kUpstreams = 120;
constexpr std::array<const char*, 3> kDomains{"rennes", "quimper", "vannes"};
constexpr size_t kBalancersPerDomain = 4;
const time_point kSurgeStart = AtMs(10'000);
constexpr double kSurgeSeconds = 30;
const time_point kSurgeEnd = kSurgeStart + 30s;
/// Part of the requests that need more work, and by which factor.
constexpr double kHeavyPart = 0.03;
constexpr double kHeavyFactor = 7;

struct request_kind {
  double rate;  ///< Requests a second without a surge.
  double work_s;
  duration target;
  duration timeout;
  uint8_t priority;
  int requests_per_flow;
};
constexpr std::array<request_kind, 3> kKinds{{{1155, 0.047, 500ms, 4s, 2, 20},
                                              {330, 0.061, 600ms, 4s, 1, 20},
                                              {99, 0.0042, 1200ms, 8s, 2, 1}}};
constexpr double kPauseSeconds = 0.15;

endpoint AddressOf(size_t kind) {
  return {kIdempotentAddress.address, static_cast<uint16_t>(7000 + kind)};
}

/// A caller that sends its requests one after the other on one flow, and each
/// retry on a new one.
struct session {
  size_t kind = 0;
  flow_key flow;
  size_t balancer = 0;
  uint32_t mark = 0;  ///< 0 while no flow is open.
  upstream_id upstream = 0;
  uint32_t sequence = 1, acknowledged = 1;
  int requests_left = 0, attempt = 0;
  time_point requested_at{};
};
using session_ptr = std::shared_ptr<session>;

struct queueing_upstream {
  double slowness = 1;
  int in_service = 0;
  std::deque<std::pair<session_ptr, double>> queue;
};

/// \brief A load that the replay applies for 30 s, after 10 s without a surge.
struct overload_scenario {
  double factor = 1;            ///< Callers' rate during the surge.
  bool has_slow_third = false;  ///< A third of the upstreams is 6 times slower.
  bool is_domain_lost = false;
  bool has_admission = false;
};

/// \brief What became of the requests of one address during the surge.
struct class_outcome {
  uint64_t requests = 0;
  uint64_t in_target = 0;
  double best = 0;  ///< Largest possible share in target, by value for work.
  double share() const {
    return requests == 0 ? 1 : static_cast<double>(in_target) / requests;
  }
};

/// \brief What the replay counted during the surge.
struct overload_outcome {
  std::array<class_outcome, 3>
      classes;                ///< Idempotent, non-idempotent, download.
  uint64_t arrived = 0;       ///< Requests that reached an upstream.
  uint64_t rejected = 0;      ///< Of these, those that it rejected.
  uint64_t held = 0;          ///< Openings delayed at their first copy.
  uint64_t held_in_vain = 0;  ///< Openings delayed and not placed later.
  uint64_t not_placed = 0;  ///< Openings delayed or refused, before the surge.
  double useful_slots = 0;  ///< Slot time spent on requests within target.
};

class overload_replay {
 public:
  explicit overload_replay(const overload_scenario& scenario)
      : scenario_(scenario) {
    std::vector<upstream_entry> entries;
    for (size_t i = 0; i < kUpstreams; ++i) {
      upstreams_.emplace_back().slowness = Uniform(0.6, 1.6);
      const bool is_slow = scenario.has_slow_third && i / 3 % 3 == 0;
      if (is_slow) upstreams_.back().slowness *= 6;
      if (i % 3 < DomainCount())
        entries.push_back(MakeEntry(i + 1, kDomains[i % 3]));
    }
    routing_table table{.version = 2};
    for (size_t k = 0; k < kKinds.size(); ++k)
      table.addresses.push_back({.address = AddressOf(k),
                                 .shares = {{kService, 1}},
                                 .timeout = kKinds[k].timeout,
                                 .target_latency = kKinds[k].target,
                                 .priority = kKinds[k].priority});
    for (size_t b = 0; b < DomainCount() * kBalancersPerDomain; ++b) {
      worlds_.push_back(std::make_unique<direct_world>(entries));
      worlds_[b]->state.domain = kDomains[b % DomainCount()];
      ApplyTable(worlds_[b]->state, table);
    }
  }

  overload_outcome Run() {
    for (size_t k = 0; k < kKinds.size(); ++k) ScheduleSession(k, AtMs(0));
    for (now_ = AtMs(0); now_ < kSurgeEnd + 3s; now_ += 250us) {
      if (now_.time_since_epoch() % 200ms == duration{}) Maintain();
      timers_.RunDue(now_);
    }
    result_.useful_slots /=
        2.0 * DomainCount() * (kUpstreams / 3.0) * kSurgeSeconds;
    FillBest();
    return result_;
  }

 private:
  size_t DomainCount() const { return scenario_.is_domain_lost ? 2 : 3; }
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  duration Exponential(double mean_s) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        std::exponential_distribution<double>(1 / mean_s)(random_)));
  }
  bool IsInSurge(time_point at) const {
    return at >= kSurgeStart && at < kSurgeEnd;
  }

  void ScheduleSession(size_t kind, time_point from) {
    const double factor = IsInSurge(from) ? scenario_.factor : 1;
    const double rate =
        kKinds[kind].rate * factor / kKinds[kind].requests_per_flow;
    timers_.Schedule(from + Exponential(1 / rate), [this, kind](time_point at) {
      ScheduleSession(kind, at);
      const auto s = std::make_shared<session>();
      s->kind = kind;
      s->requests_left = kKinds[kind].requests_per_flow;
      s->flow = {
          {0x64400000 + next_caller_++, 1024}, AddressOf(kind), protocol::kTcp};
      StartRequest(s);
    });
  }

  void StartRequest(const session_ptr& s) {
    if (s->requests_left-- == 0) return;
    s->attempt = 0;
    s->requested_at = now_;
    if (IsInSurge(now_)) ++result_.classes[s->kind].requests;
    Attempt(s);
  }

  void Attempt(const session_ptr& s) { s->mark == 0 ? Open(s, 0) : Send(s); }

  void Open(const session_ptr& s, uint32_t copy) {
    if (copy == 0) {
      ++s->flow.caller.port;
      s->balancer = random_() % worlds_.size();
    }
    direct_packet p{
        .flow = s->flow, .is_opening = true, .retransmission_count = copy};
    const verdict v = RoutePacket(worlds_[s->balancer]->state, p, now_);
    if (v.action != verdict_action::kForward && now_ < kSurgeStart)
      ++result_.not_placed;
    if (v.action == verdict_action::kRefuse) {
      if (copy > 0) ++result_.held_in_vain;
      return Retry(s);
    }
    if (v.action == verdict_action::kDrop) {
      if (copy == 0) ++result_.held;
      if (copy == 2) ++result_.held_in_vain;
      const duration wait = copy == 0 ? 200ms : copy == 1 ? 400ms : 800ms;
      return timers_.Schedule(now_ + wait, [=, this](time_point) {
        copy == 2 ? Retry(s) : Open(s, copy + 1);
      });
    }
    s->mark = v.mark;
    s->upstream = v.upstream;
    s->sequence = s->acknowledged = 1;
    Send(s);
  }

  void Retry(const session_ptr& s) {
    s->mark = 0;
    if (++s->attempt <= 2)
      return timers_.Schedule(now_ + 10ms,
                              [=, this](time_point) { Attempt(s); });
    Pause(s);
  }

  void Pause(const session_ptr& s) {
    timers_.Schedule(now_ + Exponential(kPauseSeconds),
                     [=, this](time_point) { StartRequest(s); });
  }

  void SendPacket(session& s, uint16_t length, bool has_fin = false) {
    direct_packet p{.flow = s.flow,
                    .mark = s.mark,
                    .has_fin = has_fin,
                    .sequence = s.sequence,
                    .acknowledged = s.acknowledged,
                    .length = length};
    RoutePacket(worlds_[s.balancer]->state, p, now_);
    s.sequence += length;
  }

  void Send(const session_ptr& s) {
    SendPacket(*s, 100);
    queueing_upstream& u = upstreams_[s->upstream - 1];
    if (IsInSurge(now_)) ++result_.arrived;
    const double heaviness = Uniform(0, 1) < kHeavyPart ? kHeavyFactor : 1;
    const double work_s = kKinds[s->kind].work_s * heaviness * u.slowness;
    if (u.in_service < 2) return Serve(u, s, work_s);
    if (u.queue.size() < 8) return u.queue.emplace_back(s, work_s), void();
    ++failures_;
    if (IsInSurge(now_)) ++result_.rejected;
    timers_.Schedule(now_ + 1ms, [=, this](time_point) {
      s->acknowledged += 50;
      SendPacket(*s, 0);
      SendPacket(*s, 0, true);
      Retry(s);
    });
  }

  void Serve(queueing_upstream& u, const session_ptr& s, double work_s) {
    ++u.in_service;
    const auto work = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(work_s));
    timers_.Schedule(now_ + work, [=, this, &u](time_point) {
      --u.in_service;
      if (!u.queue.empty()) {
        const auto next = u.queue.front();
        u.queue.pop_front();
        Serve(u, next.first, next.second);
      }
      Respond(s, work_s);
    });
  }

  void Respond(const session_ptr& s, double work_s) {
    s->acknowledged += 2000;
    SendPacket(*s, 0, false);
    const bool in_target = now_ - s->requested_at <= kKinds[s->kind].target;
    if (in_target && IsInSurge(s->requested_at))
      ++result_.classes[s->kind].in_target;
    if (in_target && IsInSurge(now_)) result_.useful_slots += work_s;
    if (s->requests_left == 0) SendPacket(*s, 0, true);
    Pause(s);
  }

  /// Each second a new sum of each domain; balancers see it 1 or 2 s later.
  void MeasureLoads() {
    load_view view;
    for (size_t d = 0; d < DomainCount(); ++d) {
      service_load load{kService, kDomains[d], 2.0 * kUpstreams / 3,
                        0,        0,           now_};
      for (size_t i = d; i < kUpstreams; i += 3)
        load.busy += upstreams_[i].in_service +
                     static_cast<double>(upstreams_[i].queue.size());
      load.failures_per_s = static_cast<double>(failures_) / DomainCount();
      view.loads.push_back(load);
    }
    std::ranges::sort(view.loads);
    failures_ = 0;
    views_.push_front(view);
    if (views_.size() > 3) views_.pop_back();
  }

  void Maintain() {
    if (now_.time_since_epoch() % 1s == duration{}) MeasureLoads();
    for (size_t b = 0; b < worlds_.size(); ++b) {
      forwarding_state& state = worlds_[b]->state;
      state.loads = views_[std::min(views_.size() - 1, 1 + b % 2)];
      FailOverdueRequests(state.tracker, state.directory, now_);
      UpdateHealthStates(state, now_);
      if (!scenario_.has_admission) continue;
      UpdateAdmissions(state.admissions, state.table, state.tracker.demands,
                       state.loads, now_);
      state.tracker.is_queueing = IsQueueing(state.admissions);
    }
  }

  /// Fills the slots with the highest priority first and, among equals, with
  /// the least mean work first. No balancer knows the work of a single request.
  void FillBest() {
    double capacity_s = 0;
    for (size_t i = 0; i < kUpstreams; ++i)
      if (i % 3 < DomainCount())
        capacity_s += kSurgeSeconds * 2 / upstreams_[i].slowness;
    for (const size_t kind : {1, 2, 0}) {
      const double needed_s = result_.classes[kind].requests *
                              kKinds[kind].work_s *
                              (1 - kHeavyPart + kHeavyPart * kHeavyFactor);
      const double given_s = std::min(needed_s, capacity_s);
      capacity_s -= given_s;
      result_.classes[kind].best = needed_s > 0 ? given_s / needed_s : 1;
    }
  }

  overload_scenario scenario_;
  std::mt19937 random_{1};
  time_point now_{};
  timer_queue timers_;
  std::deque<queueing_upstream> upstreams_;
  std::vector<std::unique_ptr<direct_world>> worlds_;
  std::deque<load_view> views_;
  uint64_t failures_ = 0;
  uint32_t next_caller_ = 0;
  overload_outcome result_;
};

/// Runs a scenario without and with admission control, and prints both.
std::pair<overload_outcome, overload_outcome> RunBoth(
    const char* name, overload_scenario scenario) {
  const overload_outcome before = overload_replay(scenario).Run();
  scenario.has_admission = true;
  const overload_outcome after = overload_replay(scenario).Run();
  for (const overload_outcome& o : {before, after}) {
    printf("%s:", name);
    for (const class_outcome& c : o.classes)
      printf(" %.3f (best %.3f)", c.share(), c.best);
    printf(" rejected %.3f useful %.3f held %lu\n",
           static_cast<double>(o.rejected) / o.arrived, o.useful_slots, o.held);
  }
  return {before, after};
}

// Guards against priorities without effect when all callers exceed the
// capacity.
TEST(AdmissionReplay, HigherPriorityIsServedAtThreeAndAHalfTimesTheLoad) {
  const auto [before, after] = RunBoth("3.5 times", {.factor = 3.5});
  EXPECT_LT(before.classes[1].share(), 0.9) << "the load is no overload";
  EXPECT_GT(after.classes[1].share(), 0.97);
  EXPECT_GT(after.classes[2].share(), 0.97);
  EXPECT_LT(after.rejected, after.arrived / 10);
  EXPECT_GT(after.useful_slots, before.useful_slots);
  EXPECT_EQ(after.held_in_vain, 0U);
  EXPECT_EQ(after.not_placed, 0U);
}

// Guards against a collapse when the capacity falls below the highest
// priority's own demand.
TEST(AdmissionReplay, HigherPriorityKeepsMostOfASmallerCapacity) {
  const auto [before, after] =
      RunBoth("6 times, slow upstreams, a domain lost",
              {.factor = 6, .has_slow_third = true, .is_domain_lost = true});
  EXPECT_GT(after.classes[1].share(), 2 * before.classes[1].share());
  EXPECT_EQ(after.held_in_vain, 0U);
}

}  // namespace
}  // namespace radishyard
