// One run of generated load of the caller stand-in: its parameters, its flows
// and their outcomes.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"
#include "support/tcp_stream.h"
#include "support/test_protocol.h"

namespace radishyard {

/// \brief An inclusive range from which a run draws numbers uniformly.
struct number_range {
  uint32_t min = 0;
  uint32_t max = 0;
};

/// \brief Parameters of a run, as given by the command "run".
struct run_spec {
  uint32_t flows = 1;
  double rate = 100;           ///< Flows to open per second.
  uint32_t concurrency = 100;  ///< Most flows open at a time.
  std::string service;
  endpoint at;  ///< The service's address and port.
  protocol proto = protocol::kTcp;
  bool is_feed = false;
  bool idempotent = true;
  number_range service_ms{1, 1};
  number_range bytes{200, 200};
  uint32_t parts = 1;  ///< Datagrams of a UDP response.
  uint32_t lines = 0;  ///< Lines that the caller of a feed sends.
  milliseconds line_interval{1000};
  uint32_t push_ms = 500;    ///< Interval of the lines that a feed pushes.
  seconds feed_duration{0};  ///< 0: until the command "stop_feeds" arrives.
  milliseconds timeout{30'000};
  milliseconds retry_interval{1000};  ///< Retransmits idempotent UDP requests.
  uint32_t callers = 200;             ///< Distinct caller addresses.
  uint32_t seed = 1;
};

/// \brief Parses a "run" command. Throws if a required field is missing or a
/// value is invalid.
run_spec ParseRunSpec(const nlohmann::json& command);

/// \brief How a flow ended.
enum class flow_outcome {
  kCompleted,
  kRefused,   ///< By RST in reply to SYN, or ICMP "port unreachable".
  kBroken,    ///< Reset or unresponsive after it was accepted.
  kWrong,     ///< The response differs from the expected one.
  kTimedOut,  ///< Never accepted, or no response to a UDP request.
};

/// \brief A run of load with its counters.
struct load_run {
  uint32_t id = 0;
  run_spec spec;
  std::mt19937 random;
  time_point started_at;
  time_point last_refill;
  double credit = 0;  ///< Flows that the rate permits to open now.
  uint32_t started = 0;
  uint32_t open = 0;
  uint32_t accepted = 0;
  uint32_t alive = 0;    ///< Accepted feeds that are open; 0 for requests.
  uint32_t retried = 0;  ///< Retransmissions of UDP requests.
  std::map<flow_outcome, uint32_t> ended;
  std::vector<double> latency_ms;  ///< Of completed requests.
  std::vector<double> refusal_ms;
  std::vector<std::string> examples;  ///< Of flows that were not completed.
  std::vector<std::string> refused_ids;
  time_point last_accepted;
  duration longest_gap{0};  ///< Between successive accepted flows.
  uint64_t lines_sent = 0;
  uint64_t echoes = 0;

  /// \brief True once all flows were started and each has ended or, if it is a
  /// feed, was accepted.
  bool IsSettled() const;
  /// \brief Draws the parameters of the next request and counts it as started.
  request NextRequest();
  /// \brief Counts an accepted flow and updates `longest_gap`.
  void RecordAccepted(time_point now);
  /// \brief Counts the end of a flow. `reason` is kept as an example unless the
  /// flow was completed; `took` is the time since it was opened.
  void RecordEnd(flow_outcome outcome, const std::string& id,
                 const std::string& reason, duration took);
  nlohmann::json Report() const;
};

/// \brief One flow of a run. Invariant: once `is_done` is set, the outcome is
/// recorded and the flow only remains to let its TCP stream finish.
struct caller_flow {
  caller_flow(load_run& r, const request& a, const flow_key& k)
      : run(r), sent_request(a), key(k) {}
  load_run& run;
  request sent_request;
  flow_key key;
  std::optional<tcp_stream> stream;
  time_point started_at;
  bool is_accepted = false;
  bool is_armed = false;  ///< Its retransmission timer is scheduled.
  bool is_closing = false;
  bool is_done = false;
  std::string received;
  std::map<uint32_t, std::string> parts;  ///< Datagrams of a UDP response.
  std::string upstream;  ///< Upstream of a feed, from its first line.
  uint64_t next_seq = 0;
  uint32_t lines_sent = 0;
  time_point last_push;  ///< When the last line of a feed was received.
};
using flow_ptr = std::shared_ptr<caller_flow>;

}  // namespace radishyard
