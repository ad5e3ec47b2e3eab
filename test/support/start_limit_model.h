// A model of balancers that share the limit of openings on one cold upstream:
// clocks, messages, the store and their faults. The decisions are the real
// ones.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "direct/start_coordinator.h"

namespace radishyard::testing_start_limit {

/// \brief What one run of the model consists of.
struct model_settings {
  uint64_t seed = 1;
  size_t balancers = 3;
  uint32_t rate = 5;  ///< Openings a second on a cold upstream.
  /// Openings a second that callers make, in multiples of `rate`.
  double demand = 4;
  bool has_faults = true;
  /// Probability of one more fault in each 10 ms.
  double fault_probability = 0.02;
  duration cold_time = 3s;
  duration length = 6s;
  /// Rules that a test removes, to show that a violation is found without them.
  bool clock_counts_suspensions = true;
  bool store_is_exclusive = true;
  bool lifetime_counts_from_request = true;
};

/// \brief Runs the model. Each opening that was placed on the upstream has an
/// entry in `arrivals`, by the start time of its incarnation.
class start_limit_model {
 public:
  explicit start_limit_model(const model_settings& settings);
  ~start_limit_model();
  void Run();
  uint32_t limit() const;
  /// \brief Most openings that any incarnation got in a window of one second
  /// during its cold start.
  size_t MostInOneSecond() const;
  /// \brief Openings placed on the upstream during its first cold start.
  size_t FirstColdArrivals() const;
  /// \brief Grants that balancers received from others, to see that the run
  /// exercised them.
  uint64_t OpeningsReceived() const;

 private:
  class node;
  struct claim_object {
    std::string owner;
  };

  void After(duration wait, std::function<void()> run);
  bool Chance(double probability);
  duration RandomTime(duration longest);
  void RestartUpstream();
  void SendList(size_t index, duration wait);
  void StartNode(size_t index);
  void InjectFault();
  void Deliver(size_t from, const peer_message& message, const endpoint& to);
  void MakeOpenings();
  void SendOpening(size_t index, uint32_t caller, uint32_t copy);

  model_settings settings_;
  std::mt19937_64 random_;
  duration now_{};  ///< True time since the start.
  std::multimap<duration, std::function<void()>> events_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::map<std::string, claim_object> claims_;
  uint64_t started_ms_ = 0;  ///< Of the present incarnation.
  std::map<uint64_t, duration> cold_ends_;
  std::map<uint64_t, std::vector<duration>> arrivals_;
  uint32_t last_caller_ = 0;
  upstream_list list_;              ///< As the store has it.
  uint64_t openings_received_ = 0;  ///< Of processes that have ended.
};

}  // namespace radishyard::testing_start_limit
