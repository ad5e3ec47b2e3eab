// The discrete-event simulation behind Replay(): virtual time, simulated
// upstreams, and the placement strategies.
#pragma once
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "support/replay.h"

namespace radishyard::test {

/// \brief A callback at a point of virtual time.
struct replay_event {
  int64_t at_us = 0;
  uint64_t sequence = 0;  ///< Orders events at the same time.
  std::function<void()> run;
  bool operator>(const replay_event& o) const {
    return at_us != o.at_us ? at_us > o.at_us : sequence > o.sequence;
  }
};

/// \brief State of a simulated upstream.
struct simulated_upstream {
  uint32_t busy_slots = 0;     ///< Requests in execution.
  uint32_t connections = 0;    ///< Open flows, those in the backlog included.
  std::deque<size_t> backlog;  ///< Flows that wait for a free slot.
};

/// \brief A pool at its owner; with kQuota, the quota of one balancer; with
/// kAllocator, all upstreams at the allocator.
struct replay_pool {
  pool_state state;
  std::string domain;
  pool_load reported_load;         ///< Load in the owner's last heartbeat.
  bool is_lost = false;            ///< The owner is lost and not yet replaced.
  int64_t next_poll_us = -1;       ///< Time of the scheduled poll.
  uint32_t pulls_in_progress = 0;  ///< Requests for a waiting opening.
  bool waiting_announced = false;  ///< The last notice said openings wait.
};

/// \brief One run of a replay.
///
/// Flows are named by their index `i` in the trace, upstreams by their index in
/// the table, pools by their index in `pools`.
struct replay_engine {
  replay_engine(const replay_setup& s, const std::vector<trace_flow>& f);

  const replay_setup& setup;
  const std::vector<trace_flow>& trace;
  replay_result result;
  int64_t now_us = 0;
  uint64_t sequence = 0;
  std::priority_queue<replay_event, std::vector<replay_event>, std::greater<>>
      events;
  std::mt19937_64 random{42};  ///< Fixed seed: replays are reproducible.
  service table;
  std::vector<simulated_upstream> upstreams;
  std::vector<replay_pool> pools;  ///< Empty for the baselines.
  std::vector<std::vector<uint32_t>>
      own_connections;  ///< By balancer and upstream.
  std::vector<std::vector<double>>
      round_robin_credit;            ///< By balancer and upstream.
  std::vector<size_t> pool_of;       ///< Pool of each flow.
  std::vector<uint32_t> ingress_of;  ///< Ingress balancer of each flow.
  std::vector<bool>
      unknown_to_owner;  ///< Flows that the new owner has no record of yet.

  time_point Now() const { return time_point(microseconds(now_us)); }
  /// \brief Runs `run` after `us` microseconds of virtual time.
  void Schedule(int64_t us, std::function<void()> run);
  void Run();

  // Openings at their ingress, then at a pool.
  void ReceiveAtIngress(size_t i);
  /// \param rank Position of the pool in the flow's order of pools.
  /// \param hops Pools that passed the opening on.
  void ReceiveAtPool(size_t i, size_t rank, size_t hops);
  void OpenAtPool(size_t i, size_t pool_index);
  void ApplyDecision(size_t pool_index, const open_decision& d);
  /// \brief Applies the decisions that are due, schedules the next poll, and
  /// announces to the other pools whether openings wait.
  void PollPool(size_t pool_index);
  /// \brief If the pool has room, requests an opening that waits elsewhere.
  void PullWaitingOpening(size_t pool_index);
  size_t PickPool(size_t i, size_t rank) const;
  /// \brief Picks an upstream by a baseline strategy, without an owner.
  size_t PickBaselineUpstream(size_t i);
  open_request MakeOpenRequest(size_t i) const;

  // Openings at an upstream, and their results.
  void SendOpening(size_t i, size_t upstream_index, bool is_retry);
  void ReceiveAtUpstream(size_t i, size_t upstream_index);
  void StartFlow(size_t i, size_t upstream_index);
  void CompleteFlow(size_t i, size_t upstream_index);
  /// \brief Retries an opening on another upstream, or fails the flow.
  /// \param is_reset The upstream reset the opening; else it timed out.
  void HandleFailedOpening(size_t i, size_t upstream_index, bool is_reset);
  void ReleaseAtPool(size_t i, size_t upstream_index, flow_end end,
                     int64_t slot_hold_us);
  double CurrentSpeed(size_t upstream_index) const;
  const upstream_fault* FindActiveFault(size_t upstream_index,
                                        upstream_fault::kind what) const;
  size_t FindUpstreamIndex(uint32_t address) const;

  // Periodic reports, and changes of owners and of the table.
  void ReportLoads();
  /// \returns Slots by pool and upstream.
  std::vector<std::vector<uint32_t>> ComputeQuotas() const;
  void RedistributeQuotas();
  void LoseOwner();
  void TakeOverPool();
  void ApplyTable(const service& update);
};

}  // namespace radishyard::test
