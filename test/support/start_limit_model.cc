// Implements the model with events in true time, and a clock of its own for
// each balancer.
#include "support/start_limit_model.h"

#include <algorithm>

#include "support/direct_world.h"

namespace radishyard::testing_start_limit {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

namespace {

constexpr upstream_id kUpstream = 7;
constexpr duration kTick = 10ms;
constexpr duration kUpdateInterval = 200ms;
constexpr start_bounds kBounds{1.5, 5};
constexpr duration kLongestMessageDelay = 3s;
constexpr duration kLongestFreeze = 2500ms;

double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

/// One balancer, which is a process with a clock, and its view of the store.
class start_limit_model::node : public claim_store {
 public:
  node(start_limit_model& model, size_t index, double clock_rate)
      : model_(model), index_(index), clock_rate_(clock_rate) {
    state.domain = kLocalDomain;
    routing_table table = MakeRoutingTable();
    table.start_rates = {{kService, model.settings_.rate * 1000, 2s}};
    ApplyTable(state, table);
    coordinator = std::make_unique<start_coordinator>(this, state, kBounds,
                                                      MakeEnvironment());
  }

  static endpoint ToAddress(size_t index) {
    return {0x0A010000 + static_cast<uint32_t>(index), 9000};
  }

  start_environment MakeEnvironment() {
    return {.self = ToAddress(index_),
            .domain = kLocalDomain,
            .send = [this](const peer_message& message,
                           const endpoint& to) { Send(message, to); },
            .members = [this](const std::string&) { return Members(); },
            .is_reader = [] { return false; },
            .clock = [this] { return ReadClock(); }};
  }

  /// The instant on the clock that counts suspensions, unless that rule is off.
  time_point Clock() const {
    const bool counts = model_.settings_.clock_counts_suspensions;
    return ToClock(counts ? model_.now_ : model_.now_ - suspended);
  }
  time_point SteadyClock() const { return ToClock(model_.now_ - suspended); }

  /// The process may be suspended right after it has read its clock.
  time_point ReadClock() {
    const time_point now = Clock();
    if (model_.settings_.has_faults && model_.Chance(0.002)) Suspend();
    return now;
  }

  void Suspend() {
    const duration time = model_.RandomTime(kLongestFreeze);
    frozen_until = std::max(frozen_until, model_.now_) + time;
    if (model_.Chance(0.7)) suspended += time;
  }

  bool IsRunning() const { return model_.now_ >= frozen_until; }

  std::vector<view_member> Members() {
    std::vector<view_member> members;
    for (size_t i = 0; i < model_.nodes_.size(); ++i)
      if (i == index_ || !model_.Chance(members_missing))
        members.push_back({ToAddress(i), kLocalDomain, 50});
    return members;
  }

  void Send(const peer_message& message, const endpoint& to) {
    const duration wait = std::max(duration{}, frozen_until - model_.now_);
    model_.After(wait, [this_model = &model_, index = index_, message, to] {
      this_model->Deliver(index, message, to);
    });
  }

  /// Runs `step` once this process runs, unless it has been replaced by then.
  void RunLater(duration wait, std::function<void()> step) {
    model_.After(wait,
                 [this, alive = std::weak_ptr(alive_), step = std::move(step)] {
                   if (alive.expired()) return;
                   if (IsRunning()) return step();
                   RunLater(frozen_until - model_.now_, step);
                 });
  }

  /// A call of the store whose request or reply may be lost or late.
  template <typename T>
  void Call(std::function<std::pair<std::optional<T>, failure>()> run,
            store_handler<T> handler) {
    const bool has_faults = model_.settings_.has_faults;
    const bool request_lost = has_faults && model_.Chance(0.1);
    const bool reply_lost = has_faults && model_.Chance(0.2);
    const auto result = std::make_shared<std::pair<std::optional<T>, failure>>(
        std::nullopt, failure{failure_kind::kUnknown, "no reply"});
    const duration there = model_.RandomTime(has_faults ? 300ms : 2ms);
    if (!request_lost)
      model_.After(there, [run, result, reply_lost] {
        const auto actual = run();
        if (!reply_lost) *result = actual;
      });
    const duration back = reply_lost || request_lost ? 1s : there + 1ms;
    RunLater(back,
             [result, handler] { handler(result->first, result->second); });
  }

  void CreateClaim(const stored_claim& claim,
                   store_handler<bool> handler) override {
    start_limit_model& model = model_;
    Call<bool>(
        [&model, claim]() -> std::pair<std::optional<bool>, failure> {
          const bool is_new =
              model.claims_.try_emplace(claim.name, claim_object{claim.owner})
                  .second;
          if (is_new || !model.settings_.store_is_exclusive) return {true, {}};
          return {std::nullopt, {failure_kind::kConflict, "exists"}};
        },
        std::move(handler));
  }
  void ListClaims(store_handler<std::vector<stored_claim>> handler) override {
    start_limit_model& model = model_;
    using list = std::vector<stored_claim>;
    Call<list>(
        [&model]() -> std::pair<std::optional<list>, failure> {
          list claims;
          for (const auto& [name, object] : model.claims_)
            claims.push_back({name, object.owner});
          return {claims, {}};
        },
        std::move(handler));
  }
  void DeleteClaim(const std::string& name, store_handler<bool>) override {
    model_.claims_.erase(name);
  }

  void LearnOfUpstream(const upstream_list& list) {
    ApplyUpstreamList(state, list, SteadyClock(), SteadyClock());
    coordinator->Update(SteadyClock());
  }

  void UpdatePeriodically() {
    coordinator->Update(SteadyClock());
    RunLater(kUpdateInterval, [this] { UpdatePeriodically(); });
  }

  forwarding_state state;
  std::unique_ptr<start_coordinator> coordinator;
  duration frozen_until{};
  duration suspended{};        ///< Time that the steady clock has not counted.
  double members_missing = 0;  ///< Share of the members that it does not know.
  int partition = 0;           ///< Messages pass between equal numbers only.

 private:
  time_point ToClock(duration time) const {
    return time_point(1h +
                      std::chrono::duration_cast<duration>(time * clock_rate_));
  }

  start_limit_model& model_;
  size_t index_;
  double clock_rate_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

start_limit_model::start_limit_model(const model_settings& settings)
    : settings_(settings), random_(settings.seed) {
  for (size_t i = 0; i < settings.balancers; ++i) nodes_.push_back(nullptr);
  for (size_t i = 0; i < settings.balancers; ++i) StartNode(i);
}

start_limit_model::~start_limit_model() = default;

void start_limit_model::After(duration wait, std::function<void()> run) {
  events_.emplace(now_ + wait, std::move(run));
}

bool start_limit_model::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

duration start_limit_model::RandomTime(duration longest) {
  return duration(
      std::uniform_int_distribution<int64_t>(0, longest.count())(random_));
}

void start_limit_model::StartNode(size_t index) {
  if (nodes_[index])
    openings_received_ +=
        nodes_[index]->state.starts.counters.openings_received;
  const double error = kMaxClockRateErrorPpm / double{kPartsPerMillion};
  const double rate = settings_.has_faults ? std::uniform_real_distribution<>(
                                                 1 - error, 1 + error)(random_)
                                           : 1;
  // The process before it ends first: it must not be called any more.
  nodes_[index].reset();
  nodes_[index] = std::make_unique<node>(*this, index, rate);
  nodes_[index]->RunLater(RandomTime(kUpdateInterval), [this, index] {
    nodes_[index]->UpdatePeriodically();
  });
  if (IsKnown(list_.revision)) SendList(index, RandomTime(100ms));
}

void start_limit_model::RestartUpstream() {
  started_ms_ = 1'000'000 + static_cast<uint64_t>(ToMs(now_));
  cold_ends_[started_ms_] = now_ + settings_.cold_time;
  upstream_entry entry = MakeEntry(kUpstream);
  entry.started_unix_ms = static_cast<int64_t>(started_ms_);
  entry.cold_remaining = settings_.cold_time;
  list_ = {{0, list_.revision.number + 1}, {entry}};
  const duration longest = settings_.has_faults ? 1500ms : 20ms;
  for (size_t i = 0; i < nodes_.size(); ++i) SendList(i, RandomTime(longest));
}

void start_limit_model::SendList(size_t index, duration wait) {
  After(wait, [this, index, list = list_] {
    nodes_[index]->RunLater(
        {}, [this, index, list] { nodes_[index]->LearnOfUpstream(list); });
  });
}

void start_limit_model::InjectFault() {
  node& hit = *nodes_[random_() % nodes_.size()];
  switch (random_() % 6) {
    case 0:
      return StartNode(random_() % nodes_.size());
    case 1:
      return hit.Suspend();
    case 2:
      hit.partition = static_cast<int>(random_() % 2);
      return;
    case 3:
      hit.members_missing = Chance(0.5) ? 0.5 : 0;
      return;
    case 4:
      if (Chance(0.3)) RestartUpstream();
      return;
    default:
      return;
  }
}

void start_limit_model::Deliver(size_t from, const peer_message& message,
                                const endpoint& to) {
  const size_t index = to.address - node::ToAddress(0).address;
  if (index >= nodes_.size()) return;
  const bool has_faults = settings_.has_faults;
  if (nodes_[from]->partition != nodes_[index]->partition) return;
  if (has_faults && Chance(0.05)) return;
  const int copies = has_faults && Chance(0.1) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const bool is_late = has_faults && Chance(0.2);
    // A later process at the same address receives it as well.
    After(1ms + RandomTime(is_late ? kLongestMessageDelay : 1ms),
          [this, index, message] {
            nodes_[index]->RunLater({}, [this, index, message] {
              node& to_node = *nodes_[index];
              if (const auto* request = std::get_if<grant_request>(&message))
                return to_node.coordinator->HandleRequest(*request);
              const auto& reply = std::get<grant_reply>(message);
              const auto known =
                  to_node.state.starts.upstreams.find(reply.of.upstream);
              if (!settings_.lifetime_counts_from_request &&
                  known != to_node.state.starts.upstreams.end() &&
                  known->second.requester.pending)
                known->second.requester.pending->sent_at = to_node.Clock();
              to_node.coordinator->HandleReply(reply);
              if (settings_.has_faults && Chance(0.1)) to_node.Suspend();
            });
          });
  }
}

void start_limit_model::MakeOpenings() {
  const double mean = settings_.rate * settings_.demand * ToSeconds(kTick);
  const int count = std::poisson_distribution<>(mean)(random_);
  for (int i = 0; i < count; ++i)
    SendOpening(random_() % nodes_.size(), ++last_caller_, 0);
  if (!settings_.has_faults || !Chance(0.03)) return;
  // Openings that come at once wait for a large grant, which is then held until
  // their retransmissions.
  const size_t at = random_() % nodes_.size();
  for (uint32_t i = 0; i < limit(); ++i) SendOpening(at, ++last_caller_, 0);
}

void start_limit_model::SendOpening(size_t index, uint32_t caller,
                                    uint32_t copy) {
  node& at = *nodes_[index];
  // The socket keeps what arrives while the process does not run.
  if (!at.IsRunning())
    return After(at.frozen_until - now_, [this, index, caller, copy] {
      SendOpening(index, caller, copy);
    });
  direct_packet opening = direct_world::MakePacket(caller, kIdempotentAddress);
  opening.is_opening = true;
  opening.retransmission_count = copy;
  const time_point start_now = at.Clock();
  const verdict decision =
      RoutePacket(at.state, opening, at.SteadyClock(), start_now);
  if (decision.action == verdict_action::kForward) {
    const auto& entry = at.state.directory.upstreams.at(kUpstream).entry;
    arrivals_[static_cast<uint64_t>(entry.started_unix_ms)].push_back(
        now_ + RandomTime(settings_.has_faults ? kOpeningTransit : 1ms));
  }
  if (decision.wanted_start != 0)
    at.coordinator->RequestGrant(decision.wanted_start);
  if (decision.action == verdict_action::kDrop && copy < 2)
    After(copy == 0 ? 200ms : 400ms, [this, index, caller, copy] {
      SendOpening(index, caller, copy + 1);
    });
}

void start_limit_model::Run() {
  // Balancers have run for longer than it takes them to know each other.
  now_ = 2s;
  RestartUpstream();
  const duration end = now_ + settings_.length;
  for (duration next = now_; next < end; next += kTick) {
    while (!events_.empty() && events_.begin()->first <= next) {
      const auto event = events_.extract(events_.begin());
      now_ = std::max(now_, event.key());
      event.mapped()();
    }
    now_ = next;
    if (settings_.has_faults && Chance(settings_.fault_probability))
      InjectFault();
    MakeOpenings();
  }
}

uint32_t start_limit_model::limit() const {
  return MakeStartLimit(settings_.rate * 1000, kBounds).openings_per_second;
}

size_t start_limit_model::MostInOneSecond() const {
  size_t most = 0;
  for (const auto& [started_ms, unsorted] : arrivals_) {
    std::vector<duration> times = unsorted;
    std::erase_if(times, [&, end = cold_ends_.at(started_ms)](duration at) {
      return at >= end;
    });
    std::sort(times.begin(), times.end());
    for (size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= 1s) ++first;
      most = std::max(most, last - first + 1);
    }
  }
  return most;
}

size_t start_limit_model::FirstColdArrivals() const {
  if (arrivals_.empty()) return 0;
  const auto& [started_ms, times] = *arrivals_.begin();
  const duration end = cold_ends_.at(started_ms);
  return static_cast<size_t>(std::count_if(
      times.begin(), times.end(), [end](duration at) { return at < end; }));
}

uint64_t start_limit_model::OpeningsReceived() const {
  uint64_t sum = openings_received_;
  for (const auto& each : nodes_)
    sum += each->state.starts.counters.openings_received;
  return sum;
}

}  // namespace radishyard::testing_start_limit
