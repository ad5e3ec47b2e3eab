// Replays a trace in virtual time: the pool code of the balancer, or a baseline
// strategy, places openings on simulated upstreams of given speeds and faults.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "pool/pool_state.h"
#include "support/replay_trace.h"

namespace radishyard::test {

/// \brief Which balancer places an opening, and by which counts.
enum class placement_strategy {
  kOwner,             ///< The owner of each pool, by exact counts.
  kRoundRobin,        ///< Each ingress balancer, round robin by table weight.
  kConsistentHash,    ///< Weighted consistent hash, no counts.
  kLeastConnections,  ///< Each ingress balancer, by its own connections only.
  /// Each ingress balancer: of two upstreams chosen by hash the one with fewer
  /// of its own connections per weight.
  kTwoChoices,
  /// Each ingress balancer within its quota of slots; quotas are redistributed
  /// every 200 ms.
  kQuota,
  kAllocator,  ///< One allocator for all balancers, requested per flow.
};

/// \brief A fault of one upstream during [from_ms, to_ms).
struct upstream_fault {
  enum class kind {
    kSlow,       ///< Speed times `factor`.
    kCold,       ///< The speed factor rises evenly from 0.1 to 1.
    kBlackHole,  ///< Drops openings without a response.
    kFailFast,   ///< Resets every opening.
    kShed        ///< Resets the share `factor` of the openings.
  };
  size_t upstream_index = 0;  ///< In the table.
  int64_t from_ms = 0;
  int64_t to_ms = 0;
  kind what = kind::kSlow;
  double factor = 1;  ///< Used by kSlow and kShed.
};

/// \brief A new version of the table that applies from `at_ms` on.
struct table_update {
  int64_t at_ms = 0;
  service table;
};

/// \brief Inputs of a replay apart from the trace.
struct replay_setup {
  service table;
  std::vector<double> speeds;  ///< Speed of each upstream of the table.
  std::vector<upstream_fault> faults;
  std::vector<table_update> table_updates;
  placement_strategy strategy = placement_strategy::kOwner;
  pool_policy policy;
  bool pass_openings = true;  ///< Full pools pass openings to other pools.
  uint32_t balancer_count = 7;
  /// One-way latency between balancers, and from upstreams to balancers.
  int64_t balancer_latency_us = 1000;
  int64_t upstream_latency_us = 200;  ///< One-way latency to upstreams.
  /// Time at which the owner of the first pool is lost; -1 for never.
  int64_t owner_lost_at_ms = -1;
};

/// \brief What happened to one flow. A time of -1 was not reached.
struct flow_outcome {
  enum class kind { kOpen, kCompleted, kRefused, kFailed };
  kind what = kind::kOpen;
  int64_t decided_us = -1;  ///< Time at which it was first placed or refused.
  int64_t started_us = -1;  ///< Time at which the upstream started it.
  int64_t ended_us = -1;
  size_t upstream_index = 0;
};

/// \brief One opening sent to an upstream.
struct placement {
  int64_t at_us = 0;
  size_t flow = 0;  ///< Index in the trace.
  size_t upstream_index = 0;
  bool is_retry = false;  ///< Sent after another upstream failed.
};

/// \brief Result of a replay.
struct replay_result {
  std::vector<flow_outcome> flows;  ///< In the order of the trace.
  std::vector<placement> placements;
  /// Arrivals at an upstream beyond its limits of slots or connections.
  uint64_t limit_violations = 0;
  uint64_t control_bytes = 0;  ///< Bytes of messages between balancers.
  int64_t end_us = 0;          ///< Time at which the replay stops.
};

/// \brief Replays `flows`, and continues for 10 s after the last arrival so
/// that requests in progress can end.
replay_result Replay(const replay_setup& setup,
                     const std::vector<trace_flow>& flows);

/// \brief Sum of slots times speed over all upstreams, which is the work at
/// speed 1, in seconds, that they execute per second.
double ComputeCapacity(const replay_setup& setup);

/// \brief Makes a service of `upstream_count` upstreams with `slots` slots each
/// in `domain_count` failure domains, with the speeds 1 to 4 in turn.
replay_setup MakeSetup(uint32_t upstream_count, uint32_t slots,
                       uint32_t domain_count);

}  // namespace radishyard::test
