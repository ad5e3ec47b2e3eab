// Records which requests the upstreams execute, and every violation of the
// guarantees of the load balancer.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"
#include "support/test_protocol.h"

namespace radishyard {

enum class upstream_mode {
  kOk,
  kBlackhole,  ///< Responds neither to SYN nor to datagrams.
  kShed,       ///< Refuses SYN by RST and datagrams by ICMP.
  kCold,       ///< Slow until `cold_until`.
  kFrozen,     ///< Receives and sends nothing, also on open flows.
};

/// \brief Behaviour, limits and counters of one upstream.
struct upstream_host {
  std::string service;       ///< Empty until SetLimits() names the upstream.
  std::set<uint16_t> ports;  ///< Of its service; empty allows any port.
  int64_t slots = INT64_MAX;
  int64_t connections = INT64_MAX;
  double speed = 1.0;
  upstream_mode mode = upstream_mode::kOk;
  time_point cold_until;
  int64_t open = 0;  ///< Open connections.
  int64_t most_open = 0;
  int64_t running = 0;  ///< Requests in progress.
  int64_t most_running = 0;
  int64_t runs = 0;    ///< Requests executed.
  int64_t resets = 0;  ///< RST sent in reply to segments without a connection.
};

/// \brief Number of violations of one kind, with a few examples.
struct violation {
  int64_t count = 0;
  std::vector<std::string> examples;
  void Add(std::string text);
};

/// \brief The record over all upstreams that one process plays. Kinds of
/// violations in the report:
/// - "strays": a segment arrived without a connection;
/// - "doubled": a request was executed twice, and it was not an idempotent UDP
///   request;
/// - "crossed": a request reached an upstream of another service or port;
/// - "on_two": payload of one flow reached two upstreams;
/// - "over_slots", "over_connections": a limit of an upstream was exceeded.
class upstream_record {
 public:
  using json = nlohmann::json;

  upstream_host& Host(uint32_t address) { return hosts_[address]; }
  upstream_host& Host(const std::string& address);
  void SetLimits(const json& rows);

  /// \brief Records that a connection was opened.
  void RecordConnection(uint32_t address);
  /// \brief Records that one more request is in progress.
  void RecordRequestInProgress(uint32_t address);
  /// \brief Records that execution of a request begins. `key.service` is the
  /// endpoint of the upstream, here and below.
  void RecordExecution(const request& r, const flow_key& key);
  /// \brief Records that payload of a flow was received.
  void RecordPayload(const flow_key& key);
  /// \brief Records a segment that belongs to no connection.
  void RecordStraySegment(const flow_key& key);
  void RecordMalformed() { ++malformed_; }

  json Report() const;
  /// \brief Returns those of `ids` that were executed. No refused request may
  /// be among them.
  json FindExecuted(const json& ids) const;
  /// \brief Clears all counters except those of open connections and requests
  /// in progress.
  void Reset();

 private:
  std::map<uint32_t, upstream_host> hosts_;
  absl::flat_hash_map<std::string, uint32_t> executions_by_id_;
  /// The upstream that received payload of a flow last. The service of the key
  /// is left empty.
  absl::flat_hash_map<flow_key, endpoint> upstream_of_flow_;
  int64_t repeated_executions_ = 0;  ///< Of idempotent UDP requests.
  int64_t malformed_ = 0;
  std::map<std::string, violation> violations_;
};

}  // namespace radishyard
