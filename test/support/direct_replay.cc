// The events of callers, balancers and upstreams, in the order of their time.
#include "support/direct_replay.h"

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "peer/peer_codec.h"
#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard::testing_replay {
namespace {

using testing_direct_return::kIdempotentAddress;
using testing_direct_return::kService;

constexpr std::array<const char*, kDomains> kNames{"rennes", "quimper",
                                                   "vannes"};
constexpr uint32_t kUpstreamsPerDomain = 20;
constexpr uint32_t kSlots = 2;
constexpr size_t kQueueLimit = 8;
constexpr std::array<double, 4> kSpeeds{0.7, 0.9, 1.1, 1.4};
constexpr double kWorkSeconds = 0.017;
constexpr double kTargetLatencySeconds = 0.5;
constexpr double kOneRequestFlows = 0.5;  ///< Share of flows with one request.
constexpr uint32_t kLongFlowRequests = 10;
constexpr double kPauseSeconds = 0.2;  ///< Between requests of a long flow.
constexpr double kLocalSeconds = 0.0002;
constexpr double kRemoteSeconds = 0.0009;
constexpr int kMaxRetries = 2;
constexpr uint16_t kRequestBytes = 300;
constexpr uint32_t kResponseBytes = 2000;
constexpr uint32_t kRejectionBytes = 60;

struct sim_upstream {
  size_t domain = 0;
  double work_factor = 1;
  size_t size_class = 0;
  uint32_t in_service = 0;
  std::queue<std::function<void()>> waiting;
  double served = 0;
};

struct sim_balancer {
  size_t domain = 0;
  forwarding_state state;
  peer_members members;
  uint64_t round = 0;
};

/// A caller's flow.
struct sim_flow {
  size_t domain = 0;
  sim_balancer* balancer = nullptr;
  direct_packet packet;
  uint32_t requests_left = 1;
  int retries = 0;
  double first_sent_s = -1;  ///< Of the present request.
  upstream_id upstream = 0;
};

using flow_ptr = std::shared_ptr<sim_flow>;

class replay {
 public:
  explicit replay(const scenario& plan) : plan_(plan) {
    upstream_list list{.revision = {0, 1}};
    for (uint32_t i = 0; i < kDomains * kUpstreamsPerDomain; ++i) {
      const size_t domain = i / kUpstreamsPerDomain;
      const size_t speed = i % kSpeeds.size();
      list.upstreams.push_back(
          testing_direct_return::MakeEntry(i + 1, kNames[domain]));
      const double slow = plan.slowness(domain, i % kUpstreamsPerDomain);
      upstreams_.push_back({.domain = domain,
                            .work_factor = slow / kSpeeds[speed],
                            .size_class = speed + (slow > 1 ? 10 : 0)});
    }
    for (size_t i = 0; i < plan.balancers; ++i) AddBalancer(i, list);
    for (size_t d = 0; d < kDomains; ++d) ScheduleOpening(d);
    After(plan.evacuated_at, [this] { Evacuate(); });
  }

  replay_result Run() {
    while (!events_.empty() && events_.top().at < plan_.until) {
      now_ = events_.top().at;
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    Summarize();
    return result_;
  }

 private:
  struct event {
    double at = 0;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void After(double delay, std::function<void()> run) {
    events_.push({now_ + delay, ++order_, std::move(run)});
  }
  time_point Now() const {
    return AtMs(100'000) + microseconds(static_cast<int64_t>(now_ * 1e6));
  }
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }
  bool IsCut(size_t a, size_t b) const {
    return a != b && now_ >= plan_.cut_at &&
           (a == kDomains - 1 || b == kDomains - 1);
  }
  bool IsMeasured() const { return now_ >= plan_.from; }

  void AddBalancer(size_t index, const upstream_list& list) {
    auto b = std::make_unique<sim_balancer>();
    b->domain = index % kDomains;
    b->state.domain = kNames[b->domain];
    b->state.spill.is_enabled = plan_.spill_over;
    ApplyTable(b->state, testing_direct_return::MakeRoutingTable());
    ApplyUpstreamList(b->state, list, Now(), Now());
    b->members.self = {{static_cast<uint32_t>(index + 1), 1},
                       b->state.domain,
                       static_cast<uint32_t>(28 + index * 97 % 470)};
    for (const auto& other : balancers_) {
      RecordMember(other->members, b->members.self, Now());
      RecordMember(b->members, other->members.self, Now());
    }
    sim_balancer* const raw = b.get();
    by_peer_[b->members.self.peer] = raw;
    balancers_.push_back(std::move(b));
    After(Exponential(0.1), [this, raw] { Maintain(*raw); });
    After(std::uniform_real_distribution<double>(0, 1)(random_),
          [this, raw] { Report(*raw); });
  }

  void Evacuate() {
    for (const auto& b : balancers_)
      SetEvacuatedDomains(b->state.directory, {kNames[1]});
  }

  void Maintain(sim_balancer& b) {
    FailOverdueRequests(b.state.tracker, b.state.directory, Now());
    UpdateHealthStates(b.state, Now());
    UpdateLoads(b.state, Now());
    ExpireIdleFlows(b.state.tracker, b.state.directory, 15s, Now());
    After(0.2, [this, &b] { Maintain(b); });
  }

  /// What peer_exchange does once a second.
  void Report(sim_balancer& b) {
    view_report report{.self = b.members.self, .digest = b.state.digest};
    report.load = MeasureLoad(b.state, Now());
    report.outcomes = ExtractOutcomes(b.state);
    for (const endpoint& to :
         SelectReportTargets(b.members, 16, ++b.round, Now())) {
      sim_balancer& receiver = *by_peer_[to];
      RecordMember(receiver.members, report.self, Now());
      if (plan_.spill_over)
        RecordMemberLoad(receiver.state.spill.pool, report.self.peer,
                         {report.load, report.digest, Now()});
      ApplyOutcomes(receiver.state, report.outcomes, Now());
    }
    if (plan_.spill_over) SendNotices(b);
    After(1, [this, &b] { Report(b); });
  }

  void SendNotices(sim_balancer& b) {
    const auto members = FindLiveMembers(b.members, b.state.domain, Now());
    const bool is_reader = IsRegistryReader(b.members, Now());
    UpdateOwnSum(b.state, is_reader,
                 is_reader ? members.size() : CountKnown(b.members), Now());
    if (!is_reader) return;
    const load_notice notice = MakeMemberNotice(b.state, b.members.self, Now());
    for (const view_member& m : members) Deliver(notice, m.peer);
    const auto foreign = MakeDomainNotice(b.state, b.members.self, Now());
    if (!foreign) return;
    failure why;
    for (const endpoint& to : SelectForeignTargets(b.members, b.round, Now())) {
      if (IsMeasured())
        result_.foreign_bytes_per_s +=
            static_cast<double>(EncodeFrame(*foreign, why)->size());
      if (!IsCut(b.domain, by_peer_[to]->domain)) Deliver(*foreign, to);
    }
  }

  void Deliver(const load_notice& notice, const endpoint& to) {
    sim_balancer& b = *by_peer_[to];
    RecordMember(b.members, notice.sender, Now());
    const bool is_news = ApplyLoadNotice(b.state, notice, Now());
    if (!is_news || IsRegistryReader(b.members, Now())) return;
    load_notice forwarded = notice;
    forwarded.sender = b.members.self;
    for (const endpoint& reader :
         SelectReportTargets(b.members, kMaxReadersPerDomain, b.round, Now()))
      Deliver(forwarded, reader);
  }

  void ScheduleOpening(size_t domain) {
    const double requests_per_flow =
        kOneRequestFlows + (1 - kOneRequestFlows) * kLongFlowRequests;
    const double usual = plan_.utilization * kUpstreamsPerDomain * kSlots /
                         kWorkSeconds / requests_per_flow;
    After(Exponential(1 / (usual * plan_.load(domain, now_))), [this, domain] {
      auto flow = std::make_shared<sim_flow>();
      flow->domain = domain;
      const bool is_short =
          std::bernoulli_distribution(kOneRequestFlows)(random_);
      flow->requests_left = is_short ? 1 : kLongFlowRequests;
      Open(flow);
      ScheduleOpening(domain);
    });
  }

  /// Opens a flow, at first or to retry its request.
  void Open(const flow_ptr& flow) {
    if (flow->first_sent_s < 0) flow->first_sent_s = now_;
    // Routers distribute flows over the balancers of the domain.
    const size_t members =
        (plan_.balancers + kDomains - 1 - flow->domain) / kDomains;
    const size_t pick =
        std::uniform_int_distribution<size_t>(0, members - 1)(random_);
    flow->balancer = balancers_[pick * kDomains + flow->domain].get();
    ++caller_;
    flow->packet = {.flow = {{0x64400000 + caller_ / 50'000,
                              static_cast<uint16_t>(1 + caller_ % 50'000)},
                             kIdempotentAddress,
                             protocol::kTcp},
                    .is_opening = true};
    SendOpening(flow);
  }

  void SendOpening(const flow_ptr& flow) {
    const verdict v = RoutePacket(flow->balancer->state, flow->packet, Now());
    if (v.action != verdict_action::kForward) return EndAttempt(flow);
    flow->upstream = v.upstream;
    sim_upstream& u = upstreams_[v.upstream - 1];
    if (IsMeasured()) CountOpeningTo(flow->domain, u.domain);
    const double way =
        u.domain == flow->domain ? kLocalSeconds : kRemoteSeconds;
    if (!IsCut(flow->domain, u.domain)) {
      flow->packet.is_opening = false;
      flow->packet.mark = v.mark;
      return After(2 * way, [this, flow] { SendRequest(flow); });
    }
    const uint32_t sent = ++flow->packet.retransmission_count;
    constexpr std::array<double, 3> kWaits{0.2, 0.4, 0.8};
    if (sent < kWaits.size())
      return After(kWaits[sent - 1], [this, flow] { SendOpening(flow); });
    After(kWaits[2], [this, flow] { EndAttempt(flow); });
  }

  void CountOpeningTo(size_t from, size_t to) {
    ++result_.openings;
    const bool is_foreign = from != to;
    if (is_foreign) ++result_.foreign_openings;
    // 150 ms is the longest timeout of an opening.
    if (now_ > plan_.cut_at + 0.15 && IsCut(from, to) && from != kDomains - 1)
      ++result_.lost_after_cut;
    if (from != 0) return;
    const auto second = static_cast<size_t>(now_);
    spilled_.resize(std::max(spilled_.size(), second + 1));
    spilled_[second].first += is_foreign ? 1 : 0;
    spilled_[second].second += 1;
  }

  void SendRequest(const flow_ptr& flow) {
    direct_packet& p = flow->packet;
    p.length = kRequestBytes;
    RoutePacket(flow->balancer->state, p, Now());
    p.sequence += kRequestBytes;
    p.length = 0;
    sim_upstream& u = upstreams_[flow->upstream - 1];
    if (IsCut(flow->domain, u.domain))
      return After(2, [this, flow] { EndAttempt(flow); });
    const double way =
        u.domain == flow->domain ? kLocalSeconds : kRemoteSeconds;
    After(way, [this, flow, &u, way] { Arrive(flow, u, way); });
  }

  void Arrive(const flow_ptr& flow, sim_upstream& u, double way) {
    if (u.in_service < kSlots) return Serve(flow, u, way);
    if (u.waiting.size() < kQueueLimit)
      return u.waiting.push([this, flow, &u, way] { Serve(flow, u, way); });
    if (IsMeasured()) ++result_.rejected;
    After(way, [this, flow] {
      Acknowledge(flow, kRejectionBytes, true);
      EndAttempt(flow);
    });
  }

  void Serve(const flow_ptr& flow, sim_upstream& u, double way) {
    ++u.in_service;
    const double work = Exponential(kWorkSeconds) * 0.5 + kWorkSeconds * 0.5;
    After(work * u.work_factor, [this, flow, &u, way] {
      --u.in_service;
      if (IsMeasured()) {
        ++u.served;
        ++result_.served;
      }
      if (!u.waiting.empty()) {
        const auto next = std::move(u.waiting.front());
        u.waiting.pop();
        next();
      }
      After(way, [this, flow] { EndRequest(flow); });
    });
  }

  void Acknowledge(const flow_ptr& flow, uint32_t bytes, bool ends) {
    flow->packet.acknowledged += bytes;
    RoutePacket(flow->balancer->state, flow->packet, Now());
    if (!ends) return;
    flow->packet.has_fin = true;
    RoutePacket(flow->balancer->state, flow->packet, Now());
  }

  void EndRequest(const flow_ptr& flow) {
    if (IsCut(flow->domain, upstreams_[flow->upstream - 1].domain))
      return After(2, [this, flow] { EndAttempt(flow); });
    --flow->requests_left;
    const bool ends = flow->requests_left == 0;
    Acknowledge(flow, kResponseBytes, ends);
    CountRequest(*flow, now_ - flow->first_sent_s <= kTargetLatencySeconds);
    if (!ends)
      After(Exponential(kPauseSeconds), [this, flow] {
        flow->first_sent_s = now_;
        SendRequest(flow);
      });
  }

  void CountRequest(sim_flow& flow, bool is_valuable) {
    if (!IsMeasured()) return;
    ++result_.domains[flow.domain].requests;
    if (is_valuable) ++result_.domains[flow.domain].valuable;
  }

  /// A request has failed: it is retried on a new flow, or given up.
  void EndAttempt(const flow_ptr& flow) {
    if (flow->retries++ < kMaxRetries) {
      auto next = std::make_shared<sim_flow>(*flow);
      return Open(next);
    }
    CountRequest(*flow, false);
  }

  void Summarize() {
    std::map<std::pair<size_t, size_t>, std::pair<double, double>> classes;
    for (const sim_upstream& u : upstreams_) {
      auto& [sum, count] = classes[{u.domain, u.size_class}];
      sum += u.served;
      ++count;
    }
    for (const sim_upstream& u : upstreams_) {
      const auto& [sum, count] = classes[{u.domain, u.size_class}];
      if (sum > 0)
        result_.busiest = std::max(result_.busiest, u.served * count / sum);
    }
    result_.foreign_bytes_per_s /= plan_.until - plan_.from;
    for (const auto& [foreign, all] : spilled_)
      result_.spilled.push_back(all > 0 ? foreign / all : 0);
    CountReversals();
  }

  /// Counts the turns of the spilled share that exceed the noise.
  void CountReversals() {
    constexpr double kStep = 0.15;
    double low = 0;
    double high = 0;
    int direction = 0;
    for (const double share : result_.spilled) {
      low = std::min(low, share);
      high = std::max(high, share);
      const bool turns_down = direction >= 0 && share < high - kStep;
      const bool turns_up = direction <= 0 && share > low + kStep;
      if (!turns_down && !turns_up) continue;
      if (direction != 0) ++result_.reversals;
      direction = turns_down ? -1 : 1;
      low = high = share;
    }
  }

  scenario plan_;
  replay_result result_;
  double now_ = 0;
  uint64_t order_ = 0;
  uint32_t caller_ = 0;
  std::mt19937_64 random_{11};
  std::priority_queue<event> events_;
  std::vector<sim_upstream> upstreams_;
  std::vector<std::unique_ptr<sim_balancer>> balancers_;
  std::map<endpoint, sim_balancer*> by_peer_;
  std::vector<std::pair<double, double>> spilled_;
};

}  // namespace

replay_result Replay(const scenario& plan) { return replay(plan).Run(); }

}  // namespace radishyard::testing_replay
