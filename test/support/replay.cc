// Placers of the replay: owners with passing, baselines, quotas.
#include "support/replay.h"

#include <algorithm>
#include <utility>

#include "roster/rendezvous.h"
#include "support/replay_engine.h"

namespace radishyard::test {
namespace {

constexpr int64_t kReportUs = 100'000;
constexpr int64_t kShareOutUs = 200'000;
constexpr int64_t kRetransmitUs = 1'000'000;
constexpr int64_t kDetectUs = 300'000;
constexpr uint32_t kReportBytes = 16;    // One upstream in a heartbeat.
constexpr uint32_t kAnnounceBytes = 40;  // Waiting openings, or none any more.
constexpr uint32_t kAskBytes = 192;      // Admission, its answer, the end.

uint64_t Mix(uint64_t a, uint64_t b) {
  return NameHash(std::to_string(a) + "/" + std::to_string(b));
}

service OneDomain(service s) {
  for (upstream& row : s.upstreams) row.domain = "all";
  return s;
}

}  // namespace

replay_engine::replay_engine(const replay_setup& s,
                             const std::vector<trace_flow>& f)
    : setup(s), trace(f), table(s.table) {
  upstreams.resize(table.upstreams.size());
  result.flows.resize(trace.size());
  site_of.resize(trace.size());
  unknown.resize(trace.size());
  local.assign(setup.balancers, std::vector<uint32_t>(upstreams.size()));
  credit.assign(setup.balancers, std::vector<double>(upstreams.size()));
  for (size_t i = 0; i < trace.size(); ++i)
    ingress.push_back(Mix(i, 7) % setup.balancers);
  if (setup.strategy != placement_strategy::kOwner &&
      setup.strategy != placement_strategy::kQuota &&
      setup.strategy != placement_strategy::kAllocator)
    return;
  std::vector<std::string> domains;
  for (const upstream& row : table.upstreams) {
    if (std::find(domains.begin(), domains.end(), row.domain) == domains.end())
      domains.push_back(row.domain);
  }
  if (setup.strategy == placement_strategy::kAllocator) domains = {"all"};
  if (setup.strategy == placement_strategy::kQuota)
    domains.assign(setup.balancers, "all");
  for (const std::string& domain : domains) {
    replay_site site;
    site.domain = domain;
    site.pool.policy = setup.policy;
    sites.push_back(site);
  }
}

void replay_engine::After(int64_t us, std::function<void()> run) {
  events.push({now_us + us, order++, std::move(run)});
}

void replay_engine::Run() {
  Edit(table);
  for (size_t i = 0; i < trace.size(); ++i)
    events.push({trace[i].at_us, order++, [this, i] { Arrive(i); }});
  for (const table_edit& e : setup.edits)
    events.push({e.at_ms * 1000, order++, [this, &e] { Edit(e.table); }});
  // Baselines keep no counts that could be lost.
  if (setup.lost_at_ms >= 0 && !sites.empty())
    events.push({setup.lost_at_ms * 1000, order++, [this] { Lose(); }});
  result.end_us = trace.empty() ? 0 : trace.back().at_us + 10'000'000;
  if (setup.strategy == placement_strategy::kOwner) Report();
  if (setup.strategy == placement_strategy::kQuota) ShareOut();
  while (!events.empty() && events.top().at_us <= result.end_us) {
    const replay_event next = events.top();
    events.pop();
    now_us = next.at_us;
    next.run();
  }
}

void replay_engine::Edit(const service& next) {
  table = next;
  const bool split = setup.strategy == placement_strategy::kOwner;
  for (size_t s = 0; s < sites.size(); ++s) {
    Configure(sites[s].pool, split ? table : OneDomain(table), sites[s].domain,
              Now());
    Pump(s);
  }
}

open_request replay_engine::RequestOf(size_t i) const {
  open_request r;
  r.key.caller = {trace[i].caller, static_cast<uint16_t>(i)};
  r.key.service = {table.address, 80};
  r.kind = trace[i].kind;
  r.priority = trace[i].priority;
  r.token = i;
  r.prior_wait = microseconds(now_us - trace[i].at_us);
  return r;
}

size_t replay_engine::PoolOf(size_t i, size_t rank) const {
  if (setup.strategy == placement_strategy::kAllocator) return 0;
  if (setup.strategy == placement_strategy::kQuota) return ingress[i];
  std::vector<rendezvous_candidate> pools;
  for (const replay_site& site : sites) {
    pools.push_back({NameHash(site.domain),
                     static_cast<double>(PoolWeight(table, site.domain))});
  }
  const auto ranks = RankByRendezvous(StableHash(RequestOf(i).key), pools);
  return ranks[rank % ranks.size()];
}

void replay_engine::Arrive(size_t i) {
  if (sites.empty()) {
    const size_t row = Blind(i);
    ++local[ingress[i]][row];
    result.flows[i].decided_us = now_us;
    Send(i, row, false);
    return;
  }
  if (setup.strategy == placement_strategy::kAllocator)
    result.control_bytes += kAskBytes;
  const int64_t hops = setup.strategy == placement_strategy::kOwner       ? 1
                       : setup.strategy == placement_strategy::kAllocator ? 2
                                                                          : 0;
  After(hops * setup.balancer_latency_us, [this, i] { AtPool(i, 0, 0); });
}

void replay_engine::AtPool(size_t i, size_t rank, size_t hops) {
  const size_t s = PoolOf(i, rank);
  const bool may_pass =
      setup.strategy == placement_strategy::kOwner && setup.pass_openings;
  if (sites[s].down) {
    After(kRetransmitUs, [this, i] { Arrive(i); });
    return;
  }
  const trace_flow& f = trace[i];
  if (may_pass && hops < sites.size() &&
      !HasRoom(sites[s].pool, f.kind, f.priority, Now())) {
    After(setup.balancer_latency_us,
          [this, i, rank, hops] { AtPool(i, rank + 1, hops + 1); });
    return;
  }
  OpenAt(i, s);
}

void replay_engine::OpenAt(size_t i, size_t s) {
  if (sites[s].down) {
    After(kRetransmitUs, [this, i] { Arrive(i); });
    return;
  }
  site_of[i] = s;
  Settle(s, Open(sites[s].pool, RequestOf(i), Now()));
  Pump(s);
}

void replay_engine::Settle(size_t s, const open_decision& d) {
  const size_t i = d.token;
  flow_outcome& out = result.flows[i];
  if (d.what == open_decision::kind::kQueued) return;
  out.decided_us = now_us;
  if (d.what == open_decision::kind::kRefused) {
    out.what = flow_outcome::kind::kRefused;
    return;
  }
  site_of[i] = s;
  Send(i, RowOf(d.upstream), false);
}

void replay_engine::Pump(size_t s) {
  replay_site& site = sites[s];
  if (site.down) return;
  for (const open_decision& d : Poll(site.pool, Now())) Settle(s, d);
  const auto wake = NextPollTime(site.pool);
  const int64_t at =
      wake ? std::chrono::ceil<microseconds>(wake->time_since_epoch()).count()
           : -1;
  if (at >= 0 && (site.wake_us <= now_us || at < site.wake_us)) {
    site.wake_us = std::max(at, now_us + 1);
    events.push({site.wake_us, order++, [this, s] { Pump(s); }});
  }
  const bool waiting = !site.pool.queue.non_bulk.empty();
  if (setup.strategy != placement_strategy::kOwner || !setup.pass_openings)
    return;
  if (waiting != site.waiting_announced) {
    result.control_bytes += kAnnounceBytes * (sites.size() - 1);
    After(setup.balancer_latency_us, [this, s, waiting] {
      sites[s].waiting_announced = waiting;
      for (size_t p = 0; p < sites.size(); ++p) Pull(p);
    });
  }
  Pull(s);
}

void replay_engine::Pull(size_t s) {
  replay_site& site = sites[s];
  if (site.down || site.pulls > 0) return;
  if (!HasRoom(site.pool, port_kind::kRequest, priority_class::kNormal, Now()))
    return;
  for (size_t p = 0; p < sites.size(); ++p) {
    if (p == s || !sites[p].waiting_announced) continue;
    ++site.pulls;
    After(setup.balancer_latency_us, [this, s, p] {
      const auto popped =
          sites[p].down ? std::nullopt : PopFirstWaiting(sites[p].pool, Now());
      After(setup.balancer_latency_us, [this, s, popped] {
        --sites[s].pulls;
        if (popped) OpenAt(popped->token, s);
      });
    });
    return;
  }
}

size_t replay_engine::Blind(size_t i) {
  const uint32_t b = ingress[i];
  const size_t n = table.upstreams.size();
  auto weight = [&](size_t r) {
    const upstream& u = table.upstreams[r];
    return u.state == upstream_state::kLeaving ? 0.0 : u.weight;
  };
  if (setup.strategy == placement_strategy::kConsistentHash) {
    std::vector<rendezvous_candidate> rows;
    for (size_t r = 0; r < n; ++r)
      rows.push_back({NameHash(table.upstreams[r].name), weight(r)});
    return PickByRendezvous(StableHash(RequestOf(i).key), rows);
  }
  size_t best = 0;
  double best_score = -1e18;
  double total = 0;
  for (size_t r = 0; r < n; ++r) {
    if (weight(r) == 0) continue;
    double score = 0;
    if (setup.strategy == placement_strategy::kRoundRobin) {
      total += weight(r);
      score = credit[b][r] += weight(r);
    } else if (setup.strategy == placement_strategy::kHashLocal) {
      const bool hashed = r == Mix(i, 11) % n || r == Mix(i, 13) % n;
      score = (hashed ? 0 : -1e9) - local[b][r] / weight(r);
    } else {
      score = -(local[b][r] + 1.0) / weight(r);
    }
    if (score > best_score) {
      best_score = score;
      best = r;
    }
  }
  if (setup.strategy == placement_strategy::kRoundRobin)
    credit[b][best] -= total;
  return best;
}

void replay_engine::Report() {
  for (replay_site& site : sites) {
    if (site.down) continue;
    site.reported = ComputeLoad(site.pool, Now());
    result.control_bytes += kReportBytes * site.reported.upstreams.size();
  }
  After(kReportUs, [this] { Report(); });
}

// Slots in use stay where they are; free ones go to who has least for its
// demand.
std::vector<std::vector<uint32_t>> replay_engine::Quotas() const {
  const size_t n = table.upstreams.size();
  std::vector<std::vector<uint32_t>> units(sites.size(),
                                           std::vector<uint32_t>(n));
  std::vector<double> demand(sites.size());
  std::vector<uint32_t> held(sites.size());
  for (size_t s = 0; s < sites.size(); ++s) {
    const pool_load load = ComputeLoad(sites[s].pool, Now());
    for (const upstream_load& u : load.upstreams) {
      units[s][RowOf(u.address)] = u.slots;
      held[s] += u.slots;
    }
    demand[s] = load.waiting + held[s] + 0.5;
  }
  for (size_t r = 0; r < n; ++r) {
    uint32_t used = 0;
    for (const auto& u : units) used += u[r];
    for (; used < table.upstreams[r].slots; ++used) {
      size_t neediest = 0;
      for (size_t s = 1; s < sites.size(); ++s) {
        if (held[s] / demand[s] < held[neediest] / demand[neediest])
          neediest = s;
      }
      ++units[neediest][r];
      ++held[neediest];
    }
  }
  return units;
}

void replay_engine::ShareOut() {
  const size_t n = table.upstreams.size();
  const auto units = Quotas();
  for (size_t s = 0; s < sites.size(); ++s) {
    result.control_bytes += 2 * (kAnnounceBytes + 4 * n);
    service part = OneDomain(table);
    for (size_t r = 0; r < n; ++r) {
      part.upstreams[r].slots = units[s][r];
      part.upstreams[r].connections /= static_cast<uint32_t>(sites.size());
    }
    Configure(sites[s].pool, part, "all", Now());
    Pump(s);
  }
  After(kShareOutUs, [this] { ShareOut(); });
}

void replay_engine::Lose() {
  replay_site& site = sites[0];
  site.down = true;
  site.waiting_announced = false;
  for (const auto* list : {&site.pool.queue.non_bulk, &site.pool.queue.bulk}) {
    for (const waiting_opening& w : *list) {
      const size_t i = w.request.token;
      After(kRetransmitUs, [this, i] { Arrive(i); });
    }
  }
  After(kDetectUs, [this] { TakeOver(); });
}

void replay_engine::TakeOver() {
  replay_site& site = sites[0];
  const pool_policy policy = site.pool.policy;
  site.pool = {};
  site.pool.policy = policy;
  site.down = false;
  Configure(site.pool, table, site.domain, Now());
  for (const upstream_load& u : site.reported.upstreams)
    SetInheritedCounts(site.pool, u.address, u.connections, u.slots, Now());
  for (size_t i = 0; i < trace.size(); ++i) {
    const flow_outcome& out = result.flows[i];
    const bool open = out.started_us >= 0 && out.ended_us < 0;
    if (!open || site_of[i] != 0) continue;
    unknown[i] = true;
    After(static_cast<int64_t>(random() % 500'000), [this, i] {
      if (!unknown[i] || result.flows[i].ended_us >= 0) return;
      unknown[i] = false;
      const uint32_t address = table.upstreams[result.flows[i].row].address;
      AddExistingFlow(sites[0].pool, ReservationFor(RequestOf(i), address),
                      Now());
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

replay_setup MakeSetup(uint32_t rows, uint32_t slots, uint32_t domains) {
  replay_setup setup;
  setup.table = {.name = "survey", .address = 0x0a140001};
  for (uint32_t r = 0; r < rows; ++r) {
    setup.table.upstreams.push_back({"u" + std::to_string(r), 0x0a1e0000 + r,
                                     "d" + std::to_string(r % domains), 10,
                                     slots, 2000, upstream_state::kActive});
    setup.speeds.push_back(1 + r % 4);
  }
  return setup;
}

}  // namespace radishyard::test
