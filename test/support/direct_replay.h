// Replays callers, balancers and upstreams in virtual time without a network:
// balancers are forwarding_state structs that exchange their messages as
// structs, upstreams are queues. It shows what the decisions of src/direct/
// achieve with many balancers.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace radishyard::testing_replay {

inline constexpr size_t kDomains = 3;

struct scenario {
  size_t balancers = 78;
  bool spill_over = false;
  double utilization = 0.37;  ///< Usual load of all upstreams.
  /// Factor of the openings of a domain at a time in seconds.
  std::function<double(size_t domain, double t)> load = [](size_t, double) {
    return 1.0;
  };
  /// Factor of the work of an upstream.
  std::function<double(size_t domain, uint32_t index)> slowness =
      [](size_t, uint32_t) { return 1.0; };
  double cut_at = 1e9;        ///< When the last domain is cut from the others.
  double evacuated_at = 1e9;  ///< When the second domain takes no new flows.
  double from = 3;            ///< Start of the measured time.
  double until = 20;
};

struct domain_result {
  double requests = 0;
  double valuable = 0;  ///< Answered within the target latency.
  double Value() const { return requests > 0 ? valuable / requests : 1; }
};

struct replay_result {
  std::array<domain_result, kDomains> domains;
  double served = 0;
  double rejected = 0;
  double openings = 0;
  double foreign_openings = 0;
  double foreign_bytes_per_s = 0;  ///< Of notices between domains.
  double lost_after_cut = 0;  ///< Openings placed on the lost domain later.
  double busiest = 0;  ///< Served by the busiest upstream, to its class's mean.
  /// Share of openings of domain 0 that leave it, in each second.
  std::vector<double> spilled;
  int reversals = 0;  ///< Changes of direction by 0.15 or more in `spilled`.
};

/// \brief Replays `plan`. The result depends on it alone.
replay_result Replay(const scenario& plan);

}  // namespace radishyard::testing_replay
