// Placement strategies of the replay: owners that pass openings, an allocator,
// quotas, and the baselines without shared state.
#include "support/replay.h"

#include <algorithm>
#include <utility>

#include "roster/rendezvous.h"
#include "support/replay_engine.h"

namespace radishyard::test {
namespace {

constexpr int64_t kLoadReportIntervalUs = 100'000;
constexpr int64_t kQuotaIntervalUs = 200'000;
constexpr int64_t kRetransmitDelayUs = 1'000'000;  // By the caller.
constexpr int64_t kLossDetectionUs = 300'000;
// Assumed sizes of the messages between balancers: an upstream's entry in a
// heartbeat; a notice that openings wait or no longer wait, also the fixed part
// of a quota message; an admission request, its reply and the end of the flow.
constexpr uint32_t kLoadReportBytesPerUpstream = 16;
constexpr uint32_t kControlMessageBytes = 40;
constexpr uint32_t kAdmissionBytes = 192;

uint64_t HashPair(uint64_t a, uint64_t b) {
  return NameHash(std::to_string(a) + "/" + std::to_string(b));
}

service WithSingleDomain(service s) {
  for (upstream& u : s.upstreams) u.domain = "all";
  return s;
}

}  // namespace

replay_engine::replay_engine(const replay_setup& s,
                             const std::vector<trace_flow>& f)
    : setup(s), trace(f), table(s.table) {
  upstreams.resize(table.upstreams.size());
  result.flows.resize(trace.size());
  pool_of.resize(trace.size());
  unknown_to_owner.resize(trace.size());
  own_connections.assign(setup.balancer_count,
                         std::vector<uint32_t>(upstreams.size()));
  round_robin_credit.assign(setup.balancer_count,
                            std::vector<double>(upstreams.size()));
  for (size_t i = 0; i < trace.size(); ++i)
    ingress_of.push_back(HashPair(i, 7) % setup.balancer_count);
  if (setup.strategy != placement_strategy::kOwner &&
      setup.strategy != placement_strategy::kQuota &&
      setup.strategy != placement_strategy::kAllocator)
    return;
  std::vector<std::string> domains;
  for (const upstream& u : table.upstreams) {
    if (std::find(domains.begin(), domains.end(), u.domain) == domains.end())
      domains.push_back(u.domain);
  }
  if (setup.strategy == placement_strategy::kAllocator) domains = {"all"};
  if (setup.strategy == placement_strategy::kQuota)
    domains.assign(setup.balancer_count, "all");
  for (const std::string& domain : domains) {
    replay_pool pool;
    pool.domain = domain;
    pool.state.policy = setup.policy;
    pools.push_back(pool);
  }
}

void replay_engine::Schedule(int64_t us, std::function<void()> run) {
  events.push({now_us + us, sequence++, std::move(run)});
}

void replay_engine::Run() {
  ApplyTable(table);
  for (size_t i = 0; i < trace.size(); ++i)
    events.push(
        {trace[i].at_us, sequence++, [this, i] { ReceiveAtIngress(i); }});
  for (const table_update& e : setup.table_updates)
    events.push(
        {e.at_ms * 1000, sequence++, [this, &e] { ApplyTable(e.table); }});
  // The baselines have no pool whose owner could be lost.
  if (setup.owner_lost_at_ms >= 0 && !pools.empty())
    events.push(
        {setup.owner_lost_at_ms * 1000, sequence++, [this] { LoseOwner(); }});
  result.end_us = trace.empty() ? 0 : trace.back().at_us + 10'000'000;
  if (setup.strategy == placement_strategy::kOwner) ReportLoads();
  if (setup.strategy == placement_strategy::kQuota) RedistributeQuotas();
  while (!events.empty() && events.top().at_us <= result.end_us) {
    const replay_event next = events.top();
    events.pop();
    now_us = next.at_us;
    next.run();
  }
}

void replay_engine::ApplyTable(const service& update) {
  table = update;
  const bool is_split_by_domain = setup.strategy == placement_strategy::kOwner;
  for (size_t pool_index = 0; pool_index < pools.size(); ++pool_index) {
    Configure(pools[pool_index].state,
              is_split_by_domain ? table : WithSingleDomain(table),
              pools[pool_index].domain, Now());
    PollPool(pool_index);
  }
}

open_request replay_engine::MakeOpenRequest(size_t i) const {
  open_request r;
  r.key.caller = {trace[i].caller, static_cast<uint16_t>(i)};
  r.key.service = {table.address, 80};
  r.kind = trace[i].kind;
  r.priority = trace[i].priority;
  r.token = i;
  r.prior_wait = microseconds(now_us - trace[i].at_us);
  return r;
}

size_t replay_engine::PickPool(size_t i, size_t rank) const {
  if (setup.strategy == placement_strategy::kAllocator) return 0;
  if (setup.strategy == placement_strategy::kQuota) return ingress_of[i];
  std::vector<rendezvous_candidate> candidates;
  for (const replay_pool& pool : pools) {
    candidates.push_back({NameHash(pool.domain),
                          static_cast<double>(PoolWeight(table, pool.domain))});
  }
  const auto ranks =
      RankByRendezvous(StableHash(MakeOpenRequest(i).key), candidates);
  return ranks[rank % ranks.size()];
}

void replay_engine::ReceiveAtIngress(size_t i) {
  if (pools.empty()) {
    const size_t upstream_index = PickBaselineUpstream(i);
    ++own_connections[ingress_of[i]][upstream_index];
    result.flows[i].decided_us = now_us;
    SendOpening(i, upstream_index, false);
    return;
  }
  if (setup.strategy == placement_strategy::kAllocator)
    result.control_bytes += kAdmissionBytes;
  const int64_t hops = setup.strategy == placement_strategy::kOwner       ? 1
                       : setup.strategy == placement_strategy::kAllocator ? 2
                                                                          : 0;
  Schedule(hops * setup.balancer_latency_us,
           [this, i] { ReceiveAtPool(i, 0, 0); });
}

void replay_engine::ReceiveAtPool(size_t i, size_t rank, size_t hops) {
  const size_t pool_index = PickPool(i, rank);
  const bool may_pass =
      setup.strategy == placement_strategy::kOwner && setup.pass_openings;
  if (pools[pool_index].is_lost) {
    Schedule(kRetransmitDelayUs, [this, i] { ReceiveAtIngress(i); });
    return;
  }
  const trace_flow& f = trace[i];
  if (may_pass && hops < pools.size() &&
      !HasRoom(pools[pool_index].state, f.kind, f.priority, Now())) {
    Schedule(setup.balancer_latency_us,
             [this, i, rank, hops] { ReceiveAtPool(i, rank + 1, hops + 1); });
    return;
  }
  OpenAtPool(i, pool_index);
}

void replay_engine::OpenAtPool(size_t i, size_t pool_index) {
  if (pools[pool_index].is_lost) {
    Schedule(kRetransmitDelayUs, [this, i] { ReceiveAtIngress(i); });
    return;
  }
  pool_of[i] = pool_index;
  ApplyDecision(pool_index,
                Open(pools[pool_index].state, MakeOpenRequest(i), Now()));
  PollPool(pool_index);
}

void replay_engine::ApplyDecision(size_t pool_index, const open_decision& d) {
  const size_t i = d.token;
  flow_outcome& out = result.flows[i];
  if (d.what == open_decision::kind::kQueued) return;
  out.decided_us = now_us;
  if (d.what == open_decision::kind::kRefused) {
    out.what = flow_outcome::kind::kRefused;
    return;
  }
  pool_of[i] = pool_index;
  SendOpening(i, FindUpstreamIndex(d.upstream), false);
}

void replay_engine::PollPool(size_t pool_index) {
  replay_pool& pool = pools[pool_index];
  if (pool.is_lost) return;
  for (const open_decision& d : Poll(pool.state, Now()))
    ApplyDecision(pool_index, d);
  const auto next_poll = NextPollTime(pool.state);
  const int64_t at =
      next_poll ? std::chrono::ceil<microseconds>(next_poll->time_since_epoch())
                      .count()
                : -1;
  if (at >= 0 && (pool.next_poll_us <= now_us || at < pool.next_poll_us)) {
    pool.next_poll_us = std::max(at, now_us + 1);
    events.push({pool.next_poll_us, sequence++,
                 [this, pool_index] { PollPool(pool_index); }});
  }
  const bool has_waiting = !pool.state.queue.non_bulk.empty();
  if (setup.strategy != placement_strategy::kOwner || !setup.pass_openings)
    return;
  if (has_waiting != pool.waiting_announced) {
    result.control_bytes += kControlMessageBytes * (pools.size() - 1);
    Schedule(setup.balancer_latency_us, [this, pool_index, has_waiting] {
      pools[pool_index].waiting_announced = has_waiting;
      for (size_t other = 0; other < pools.size(); ++other)
        PullWaitingOpening(other);
    });
  }
  PullWaitingOpening(pool_index);
}

void replay_engine::PullWaitingOpening(size_t pool_index) {
  replay_pool& pool = pools[pool_index];
  if (pool.is_lost || pool.pulls_in_progress > 0) return;
  if (!HasRoom(pool.state, port_kind::kRequest, priority_class::kNormal, Now()))
    return;
  for (size_t other = 0; other < pools.size(); ++other) {
    if (other == pool_index || !pools[other].waiting_announced) continue;
    ++pool.pulls_in_progress;
    Schedule(setup.balancer_latency_us, [this, pool_index, other] {
      const auto opening = pools[other].is_lost
                               ? std::nullopt
                               : PopFirstNonBulk(pools[other].state, Now());
      Schedule(setup.balancer_latency_us, [this, pool_index, opening] {
        --pools[pool_index].pulls_in_progress;
        if (opening) OpenAtPool(opening->token, pool_index);
      });
    });
    return;
  }
}

size_t replay_engine::PickBaselineUpstream(size_t i) {
  const uint32_t b = ingress_of[i];
  const size_t n = table.upstreams.size();
  auto weight = [&](size_t r) {
    const upstream& u = table.upstreams[r];
    return u.state == upstream_state::kLeaving ? 0.0 : u.weight;
  };
  if (setup.strategy == placement_strategy::kConsistentHash) {
    std::vector<rendezvous_candidate> candidates;
    for (size_t r = 0; r < n; ++r)
      candidates.push_back({NameHash(table.upstreams[r].name), weight(r)});
    return PickByRendezvous(StableHash(MakeOpenRequest(i).key), candidates);
  }
  size_t best = 0;
  double best_score = -1e18;
  double total = 0;
  for (size_t r = 0; r < n; ++r) {
    if (weight(r) == 0) continue;
    double score = 0;
    if (setup.strategy == placement_strategy::kRoundRobin) {
      total += weight(r);
      score = round_robin_credit[b][r] += weight(r);
    } else if (setup.strategy == placement_strategy::kTwoChoices) {
      const bool hashed = r == HashPair(i, 11) % n || r == HashPair(i, 13) % n;
      score = (hashed ? 0 : -1e9) - own_connections[b][r] / weight(r);
    } else {
      score = -(own_connections[b][r] + 1.0) / weight(r);
    }
    if (score > best_score) {
      best_score = score;
      best = r;
    }
  }
  if (setup.strategy == placement_strategy::kRoundRobin)
    round_robin_credit[b][best] -= total;
  return best;
}

void replay_engine::ReportLoads() {
  for (replay_pool& pool : pools) {
    if (pool.is_lost) continue;
    pool.reported_load = ComputeLoad(pool.state, Now());
    result.control_bytes +=
        kLoadReportBytesPerUpstream * pool.reported_load.upstreams.size();
  }
  Schedule(kLoadReportIntervalUs, [this] { ReportLoads(); });
}

// Slots in use stay with their balancer; each free one goes to the balancer
// with the fewest slots per unit of demand.
std::vector<std::vector<uint32_t>> replay_engine::ComputeQuotas() const {
  const size_t n = table.upstreams.size();
  std::vector<std::vector<uint32_t>> quotas(pools.size(),
                                            std::vector<uint32_t>(n));
  std::vector<double> demand(pools.size());
  std::vector<uint32_t> total_slots(pools.size());
  for (size_t pool_index = 0; pool_index < pools.size(); ++pool_index) {
    const pool_load load = ComputeLoad(pools[pool_index].state, Now());
    for (const upstream_load& u : load.upstreams) {
      quotas[pool_index][FindUpstreamIndex(u.address)] = u.slots;
      total_slots[pool_index] += u.slots;
    }
    demand[pool_index] = load.queued + total_slots[pool_index] + 0.5;
  }
  for (size_t r = 0; r < n; ++r) {
    uint32_t used = 0;
    for (const auto& u : quotas) used += u[r];
    for (; used < table.upstreams[r].slots; ++used) {
      size_t least_supplied = 0;
      for (size_t pool_index = 1; pool_index < pools.size(); ++pool_index) {
        if (total_slots[pool_index] / demand[pool_index] <
            total_slots[least_supplied] / demand[least_supplied])
          least_supplied = pool_index;
      }
      ++quotas[least_supplied][r];
      ++total_slots[least_supplied];
    }
  }
  return quotas;
}

void replay_engine::RedistributeQuotas() {
  const size_t n = table.upstreams.size();
  const auto quotas = ComputeQuotas();
  for (size_t pool_index = 0; pool_index < pools.size(); ++pool_index) {
    result.control_bytes += 2 * (kControlMessageBytes + 4 * n);
    service quota_table = WithSingleDomain(table);
    for (size_t r = 0; r < n; ++r) {
      quota_table.upstreams[r].slots = quotas[pool_index][r];
      quota_table.upstreams[r].connections /=
          static_cast<uint32_t>(pools.size());
    }
    Configure(pools[pool_index].state, quota_table, "all", Now());
    PollPool(pool_index);
  }
  Schedule(kQuotaIntervalUs, [this] { RedistributeQuotas(); });
}

void replay_engine::LoseOwner() {
  replay_pool& pool = pools[0];
  pool.is_lost = true;
  pool.waiting_announced = false;
  for (const auto* list :
       {&pool.state.queue.non_bulk, &pool.state.queue.bulk}) {
    for (const waiting_opening& w : *list) {
      const size_t i = w.request.token;
      Schedule(kRetransmitDelayUs, [this, i] { ReceiveAtIngress(i); });
    }
  }
  Schedule(kLossDetectionUs, [this] { TakeOverPool(); });
}

void replay_engine::TakeOverPool() {
  replay_pool& pool = pools[0];
  const pool_policy policy = pool.state.policy;
  pool.state = {};
  pool.state.policy = policy;
  pool.is_lost = false;
  Configure(pool.state, table, pool.domain, Now());
  for (const upstream_load& u : pool.reported_load.upstreams)
    SetInheritedCounts(pool.state, u.address, u.connections, u.slots, Now());
  for (size_t i = 0; i < trace.size(); ++i) {
    const flow_outcome& out = result.flows[i];
    const bool is_open = out.started_us >= 0 && out.ended_us < 0;
    if (!is_open || pool_of[i] != 0) continue;
    // The new owner obtains a record of each open flow within 500 ms.
    unknown_to_owner[i] = true;
    Schedule(static_cast<int64_t>(random() % 500'000), [this, i] {
      if (!unknown_to_owner[i] || result.flows[i].ended_us >= 0) return;
      unknown_to_owner[i] = false;
      const uint32_t address =
          table.upstreams[result.flows[i].upstream_index].address;
      AddExistingFlow(pools[0].state,
                      ReservationFor(MakeOpenRequest(i), address), Now());
    });
  }
}

replay_result Replay(const replay_setup& setup,
                     const std::vector<trace_flow>& flows) {
  replay_engine engine(setup, flows);
  engine.Run();
  return std::move(engine.result);
}

double ComputeCapacity(const replay_setup& setup) {
  double sum = 0;
  for (size_t r = 0; r < setup.table.upstreams.size(); ++r)
    sum += setup.table.upstreams[r].slots * setup.speeds[r];
  return sum;
}

replay_setup MakeSetup(uint32_t upstream_count, uint32_t slots,
                       uint32_t domain_count) {
  replay_setup setup;
  setup.table = {.name = "survey", .address = 0x0a140001};
  for (uint32_t r = 0; r < upstream_count; ++r) {
    setup.table.upstreams.push_back({"u" + std::to_string(r), 0x0a1e0000 + r,
                                     "d" + std::to_string(r % domain_count), 10,
                                     slots, 2000, upstream_state::kActive});
    setup.speeds.push_back(1 + r % 4);
  }
  return setup;
}

}  // namespace radishyard::test
