// True upstreams of the replay: speed, backlog and faults.
#include <algorithm>

#include "support/replay_engine.h"

namespace radishyard::test {
namespace {

constexpr int64_t kAnswerTimeoutUs = 250'000;
constexpr size_t kBacklog = 64;

}  // namespace

const upstream_fault* replay_engine::Fault(size_t row,
                                           upstream_fault::kind what) const {
  for (const upstream_fault& f : setup.faults) {
    if (f.row == row && f.what == what && now_us >= f.from_ms * 1000 &&
        now_us < f.to_ms * 1000)
      return &f;
  }
  return nullptr;
}

double replay_engine::Speed(size_t row) const {
  double speed = setup.speeds[row];
  if (const auto* slow = Fault(row, upstream_fault::kind::kSlow))
    speed *= slow->factor;
  if (const auto* cold = Fault(row, upstream_fault::kind::kCold)) {
    const double done =
        static_cast<double>(now_us - cold->from_ms * 1000) /
        (1000.0 * static_cast<double>(cold->to_ms - cold->from_ms));
    speed *= std::max(0.1, done);
  }
  return speed;
}

size_t replay_engine::RowOf(uint32_t address) const {
  for (size_t r = 0; r < setup.table.upstreams.size(); ++r)
    if (setup.table.upstreams[r].address == address) return r;
  return 0;
}

void replay_engine::Send(size_t i, size_t row, bool again) {
  result.placements.push_back({now_us, i, row, again});
  result.flows[i].row = row;
  After(setup.upstream_hop_us, [this, i, row] { Reach(i, row); });
}

void replay_engine::Reach(size_t i, size_t row) {
  if (Fault(row, upstream_fault::kind::kBlackHole) != nullptr) {
    After(kAnswerTimeoutUs, [this, i, row] { GoneWrong(i, row, false); });
    return;
  }
  const auto* shed = Fault(row, upstream_fault::kind::kShed);
  const bool sheds = shed != nullptr && (random() % 1000) < 1000 * shed->factor;
  if (sheds || Fault(row, upstream_fault::kind::kFailFast) != nullptr ||
      upstreams[row].backlog.size() >= kBacklog) {
    After(setup.balancer_latency_us,
          [this, i, row] { GoneWrong(i, row, true); });
    return;
  }
  const size_t s = site_of[i];
  if (s < sites.size()) {
    After(setup.balancer_latency_us, [this, s, row] {
      const int64_t rtt = setup.balancer_latency_us + setup.upstream_hop_us;
      RecordResponse(sites[s].pool, setup.table.upstreams[row].address,
                     microseconds(rtt), Now());
    });
  }
  true_upstream& u = upstreams[row];
  const upstream& limits = setup.table.upstreams[row];
  if (++u.connections > limits.connections) ++result.limit_violations;
  if (trace[i].kind == port_kind::kRequest && u.busy >= limits.slots) {
    ++result.limit_violations;
    u.backlog.push_back(i);
    return;
  }
  Serve(i, row);
}

void replay_engine::Serve(size_t i, size_t row) {
  result.flows[i].started_us = now_us;
  double us = static_cast<double>(trace[i].work_us);
  if (trace[i].kind == port_kind::kRequest) {
    ++upstreams[row].busy;
    us /= Speed(row);
  }
  After(static_cast<int64_t>(us), [this, i, row] { Finish(i, row); });
}

void replay_engine::Finish(size_t i, size_t row) {
  true_upstream& u = upstreams[row];
  --u.connections;
  flow_outcome& out = result.flows[i];
  out.ended_us = now_us;
  out.what = flow_outcome::kind::kCompleted;
  if (trace[i].kind == port_kind::kRequest) {
    --u.busy;
    if (!u.backlog.empty()) {
      const size_t next = u.backlog.front();
      u.backlog.pop_front();
      Serve(next, row);
    }
  }
  const int64_t held = now_us - out.started_us + setup.balancer_latency_us +
                       setup.upstream_hop_us;
  After(setup.balancer_latency_us,
        [this, i, row, held] { Ended(i, row, flow_end::kCompleted, held); });
}

void replay_engine::Ended(size_t i, size_t row, flow_end how, int64_t held) {
  const uint32_t address = setup.table.upstreams[row].address;
  const size_t s = site_of[i];
  if (local[ingress[i]][row] > 0) --local[ingress[i]][row];
  if (sites.empty() || sites[s].down) return;
  const flow_reservation flow = ReservationFor(RequestOf(i), address);
  if (unknown[i]) AddExistingFlow(sites[s].pool, flow, Now());
  unknown[i] = false;
  ReleaseFlow(sites[s].pool, flow, how, microseconds(held), Now());
  Pump(s);
}

void replay_engine::GoneWrong(size_t i, size_t row, bool by_reset) {
  const uint32_t address = setup.table.upstreams[row].address;
  const size_t s = site_of[i];
  flow_outcome& out = result.flows[i];
  if (setup.strategy == placement_strategy::kOwner && !sites[s].down) {
    pool_state& pool = sites[s].pool;
    if (by_reset) {
      RecordReset(pool, address, Now());
    } else {
      RecordTimeout(pool, address, Now());
    }
    const auto next = RetryOnOtherUpstream(pool, RequestOf(i), address, Now());
    Pump(s);
    if (next) {
      Send(i, RowOf(*next), true);
      return;
    }
  }
  out.what = flow_outcome::kind::kFailed;
  out.ended_us = now_us;
  Ended(i, row, flow_end::kFailed, 0);
}

}  // namespace radishyard::test
