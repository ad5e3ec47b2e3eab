// One run of flows of the callers' stand-in: what was asked, and what came of
// it.
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

/// \brief A range from which a run draws evenly.
struct number_range {
  uint32_t least = 0;
  uint32_t most = 0;
};

/// \brief The command that starts a run.
struct run_spec {
  uint32_t flows = 1;
  double rate = 100;  ///< Openings a second.
  uint32_t concurrency = 100;
  std::string service;
  endpoint at;  ///< The service's address and port.
  protocol proto = protocol::kTcp;
  bool is_feed = false;
  bool idempotent = true;
  number_range service_ms{1, 1};
  number_range bytes{200, 200};
  uint32_t parts = 1;  ///< Datagrams of a UDP answer.
  uint32_t lines = 0;  ///< Lines that a feed's caller sends.
  milliseconds line_interval{1000};
  uint32_t push_ms = 500;
  seconds feed_duration{0};  ///< 0: until the command "stop_feeds".
  milliseconds timeout{30'000};
  milliseconds retry_interval{1000};  ///< Of an idempotent UDP request.
  uint32_t callers = 200;             ///< Distinct caller addresses.
  uint32_t seed = 1;
};

/// \brief Reads the fields of a "run" command; throws where one is missing.
run_spec ParseRunSpec(const nlohmann::json& command);

/// \brief How a flow ended.
enum class flow_outcome {
  kCompleted,
  kRefused,   ///< RST to SYN, or ICMP "port unreachable".
  kBroken,    ///< RST or silence after it was accepted.
  kWrong,     ///< An answer that is not the whole right one.
  kTimedOut,  ///< Never accepted, or a UDP request without an answer.
};

/// \brief A run with its counts.
struct load_run {
  uint32_t id = 0;
  run_spec spec;
  std::mt19937 random;
  time_point started_at;
  time_point last_refill;
  double credit = 0;  ///< Flows that the rate allows to open now.
  uint32_t started = 0;
  uint32_t open = 0;
  uint32_t accepted = 0;
  uint32_t alive = 0;  ///< Feeds accepted and not ended; 0 for requests.
  uint32_t retried = 0;
  std::map<flow_outcome, uint32_t> ended;
  std::vector<double> latency_ms;  ///< Of completed requests.
  std::vector<double> refusal_ms;
  std::vector<std::string> examples;  ///< Of what was not completed.
  std::vector<std::string> refused_ids;
  time_point last_accepted;
  duration longest_gap{0};  ///< Between two flows accepted.
  uint64_t lines_sent = 0;
  uint64_t echoes = 0;

  /// \brief All flows have ended, or for feeds: been accepted or ended.
  bool IsSettled() const;
  request NextRequest();
  void RecordAccepted(time_point now);
  void RecordEnd(flow_outcome how, const std::string& id,
                 const std::string& reason, duration took);
  nlohmann::json Report() const;
};

/// \brief One flow of a run. Invariant: once `is_done`, its outcome is counted
/// and only the stream's end is still served.
struct caller_flow {
  caller_flow(load_run& r, const request& a, const flow_key& k)
      : run(r), sent_request(a), key(k) {}
  load_run& run;
  request sent_request;
  flow_key key;
  std::optional<tcp_stream> stream;
  time_point started_at;
  bool is_accepted = false;
  bool is_armed = false;  ///< A retransmission timer is queued.
  bool is_closing = false;
  bool is_done = false;
  std::string received;
  std::map<uint32_t, std::string> parts;  ///< Datagrams of a UDP answer.
  std::string upstream;                   ///< Of a feed, by its first line.
  uint64_t next_seq = 0;
  uint32_t lines_sent = 0;
  time_point last_push;
};
using flow_ptr = std::shared_ptr<caller_flow>;

}  // namespace radishyard
