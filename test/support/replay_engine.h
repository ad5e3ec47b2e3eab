// Inside of the replay: virtual time, true upstreams, and the placers.
#pragma once
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

struct replay_event {
  int64_t at_us = 0;
  uint64_t order = 0;
  std::function<void()> run;
  bool operator>(const replay_event& o) const {
    return at_us != o.at_us ? at_us > o.at_us : order > o.order;
  }
};

/// \brief An upstream as it truly is.
struct true_upstream {
  uint32_t busy = 0;
  uint32_t connections = 0;
  std::deque<size_t> backlog;
};

/// \brief A pool at its owner (or a quota at a balancer).
struct replay_site {
  pool_state pool;
  std::string domain;
  pool_load reported;  ///< Last load that left the owner.
  bool down = false;
  int64_t wake_us = -1;
  uint32_t pulls = 0;              ///< Asked for and not yet here.
  bool waiting_announced = false;  ///< What its peers know.
};

struct replay_engine {
  replay_engine(const replay_setup& s, const std::vector<trace_flow>& f);

  const replay_setup& setup;
  const std::vector<trace_flow>& trace;
  replay_result result;
  int64_t now_us = 0;
  uint64_t order = 0;
  std::priority_queue<replay_event, std::vector<replay_event>, std::greater<>>
      events;
  std::mt19937_64 random{42};
  service table;
  std::vector<true_upstream> upstreams;
  std::vector<replay_site> sites;
  std::vector<std::vector<uint32_t>> local;  ///< Connections by balancer.
  std::vector<std::vector<double>> credit;   ///< Round robin by balancer.
  std::vector<size_t> site_of;               ///< Of each flow.
  std::vector<uint32_t> ingress;             ///< Of each flow.
  std::vector<bool> unknown;  ///< Flows that a new owner has not learned.

  time_point Now() const { return time_point(microseconds(now_us)); }
  void After(int64_t us, std::function<void()> run);
  void Run();

  // Openings at their ingress, then at a pool.
  void Arrive(size_t i);
  void AtPool(size_t i, size_t rank, size_t hops);
  void OpenAt(size_t i, size_t site);
  void Settle(size_t site, const open_decision& d);
  void Pump(size_t site);
  void Pull(size_t site);
  size_t PoolOf(size_t i, size_t rank) const;
  size_t Blind(size_t i);
  open_request RequestOf(size_t i) const;

  // The way to an upstream and what comes back.
  void Send(size_t i, size_t row, bool again);
  void Reach(size_t i, size_t row);
  void Serve(size_t i, size_t row);
  void Finish(size_t i, size_t row);
  void GoneWrong(size_t i, size_t row, bool answered_by_reset);
  void Ended(size_t i, size_t row, flow_end how, int64_t held_us);
  double Speed(size_t row) const;
  const upstream_fault* Fault(size_t row, upstream_fault::kind what) const;
  size_t RowOf(uint32_t address) const;

  // Changes around them.
  void Report();
  std::vector<std::vector<uint32_t>> Quotas() const;
  void ShareOut();
  void Lose();
  void TakeOver();
  void Edit(const service& next);
};

}  // namespace radishyard::test
