// Replay of a trace in virtual time: the real decisions of a pool, or a
// baseline, over upstreams of known speed and faults.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "pool/pool_state.h"
#include "support/replay_trace.h"

namespace radishyard::test {

/// \brief Who places, and what it knows.
enum class placement_strategy {
  kOwner,             ///< One owner for each pool, exact counts.
  kRoundRobin,        ///< Each balancer for itself, by table weight.
  kConsistentHash,    ///< Weighted, stateless.
  kLeastConnections,  ///< Each balancer by its own connections only.
  kHashLocal,  ///< The less connected of two hashed, by own connections only.
  kQuota,      ///< Slots leased to each balancer, shared out anew each 200 ms.
  kAllocator,  ///< One allocator for all, asked for each flow.
};

struct upstream_fault {
  enum class kind { kSlow, kCold, kBlackHole, kFailFast, kShed };
  size_t row = 0;  ///< Of the table.
  int64_t from_ms = 0;
  int64_t to_ms = 0;
  kind what = kind::kSlow;
  double factor = 1;  ///< Of speed (slow), of openings (shed).
};

struct table_edit {
  int64_t at_ms = 0;
  service table;
};

struct replay_setup {
  service table;
  std::vector<double> speeds;  ///< True speed by row.
  std::vector<upstream_fault> faults;
  std::vector<table_edit> edits;
  placement_strategy strategy = placement_strategy::kOwner;
  pool_policy policy;
  bool pass_openings = true;  ///< Openings pass between pools.
  uint32_t balancers = 7;
  int64_t balancer_latency_us = 1000;  ///< Between balancers, and back to them.
  int64_t upstream_hop_us = 200;       ///< From an owner to its upstreams.
  int64_t lost_at_ms = -1;             ///< The owner of the first pool is lost.
};

struct flow_outcome {
  enum class kind { kOpen, kCompleted, kRefused, kFailed };
  kind what = kind::kOpen;
  int64_t decided_us = -1;  ///< First placed or refused.
  int64_t started_us = -1;  ///< The upstream began it.
  int64_t ended_us = -1;
  size_t row = 0;
};

/// \brief One opening sent to an upstream.
struct placement {
  int64_t at_us = 0;
  size_t flow = 0;  ///< In the trace.
  size_t row = 0;
  bool again = false;  ///< A second placement.
};

struct replay_result {
  std::vector<flow_outcome> flows;  ///< In the order of the trace.
  std::vector<placement> placements;
  uint64_t limit_violations = 0;  ///< Arrivals at an upstream above its limits.
  uint64_t control_bytes = 0;
  int64_t end_us = 0;
};

/// \brief Replays `flows` and lets the requests in progress end.
replay_result Replay(const replay_setup& setup,
                     const std::vector<trace_flow>& flows);

/// \brief Sum of slots times speed: work at speed 1 served in a second.
double ComputeCapacity(const replay_setup& setup);

/// \brief A service of `rows` upstreams of `slots` slots in `domains` domains,
/// with true speeds 1 to 4 in turn.
replay_setup MakeSetup(uint32_t rows, uint32_t slots, uint32_t domains);

}  // namespace radishyard::test
