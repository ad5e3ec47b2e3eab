// What happened at the upstreams: who ran which request when, and every
// violation of what a load balancer must keep.
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
  kBlackhole,  ///< Answers neither SYN nor datagram.
  kShed,       ///< Refuses SYN by RST and datagrams by ICMP.
  kCold,       ///< Slow until `cold_until`.
  kFrozen,     ///< Takes and sends nothing at all.
};

/// \brief Behaviour, limits and counts of one upstream.
struct upstream_host {
  std::string service;       ///< Empty where no limits named this upstream.
  std::set<uint16_t> ports;  ///< Of the service; empty for any.
  int64_t slots = INT64_MAX;
  int64_t connections = INT64_MAX;
  double speed = 1.0;
  upstream_mode mode = upstream_mode::kOk;
  time_point cold_until;
  int64_t open = 0;
  int64_t most_open = 0;
  int64_t running = 0;  ///< Requests in progress.
  int64_t most_running = 0;
  int64_t runs = 0;
  int64_t resets = 0;  ///< RST sent for a segment without a connection.
};

/// \brief Occurrences of one kind of fault, with a few examples.
struct violation {
  int64_t count = 0;
  std::vector<std::string> examples;
  void Add(std::string text);
};

/// \brief The record over all upstreams of a process.
class upstream_record {
 public:
  using json = nlohmann::json;

  upstream_host& Host(uint32_t address) { return hosts_[address]; }
  upstream_host& Host(const std::string& address);
  void SetLimits(const json& rows);

  void RecordConnection(uint32_t address);
  void RecordRequestInProgress(uint32_t address);
  /// \brief A request begins at `key.service`, the upstream's endpoint.
  void RecordExecution(const request& r, const flow_key& key);
  /// \brief Payload of a flow arrived at `key.service`.
  void RecordPayload(const flow_key& key);
  /// \brief A segment came without a connection.
  void RecordStraySegment(const flow_key& key);
  void RecordMalformed() { ++malformed_; }

  json Report() const;
  /// \brief Those of `ids` that ran; a refused request must not be among them.
  json FindExecuted(const json& ids) const;
  /// \brief Forgets all but what is open or in progress.
  void Reset();

 private:
  std::map<uint32_t, upstream_host> hosts_;
  absl::flat_hash_map<std::string, uint32_t> runs_;
  /// Where the payload of a caller's flow went; the key's service is empty.
  absl::flat_hash_map<flow_key, endpoint> served_by_;
  int64_t repeated_ = 0;  ///< Further runs of idempotent UDP requests.
  int64_t malformed_ = 0;
  std::map<std::string, violation> violations_;
};

}  // namespace radishyard
