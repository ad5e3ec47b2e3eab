// Violations are counted when they occur, so that a report needs no search.
#include "support/upstream_record.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace radishyard {
namespace {

constexpr size_t kMaxExamples = 5;
// Kinds that a report contains even if their count is 0.
constexpr std::array<const char*, 6> kReportedViolations = {
    "strays", "doubled", "crossed", "on_two", "over_slots", "over_connections"};

}  // namespace

void violation::Add(std::string text) {
  ++count;
  if (examples.size() < kMaxExamples) examples.push_back(std::move(text));
}

upstream_host& upstream_record::Host(const std::string& address) {
  uint32_t parsed = 0;
  if (!ParseAddress(address, parsed))
    throw std::invalid_argument("not an IPv4 address: " + address);
  return hosts_[parsed];
}

void upstream_record::SetLimits(const json& rows) {
  for (const json& row : rows) {
    upstream_host& host = Host(row.at("address").get<std::string>());
    host.service = row.value("service", "");
    host.ports = row.value("ports", std::set<uint16_t>());
    host.slots = row.value("slots", INT64_MAX);
    host.connections = row.value("connections", INT64_MAX);
  }
}

void upstream_record::RecordConnection(uint32_t address) {
  upstream_host& host = Host(address);
  host.most_open = std::max(host.most_open, ++host.open);
  if (host.open > host.connections)
    violations_["over_connections"].Add(ToDottedAddress(address));
}

void upstream_record::RecordRequestInProgress(uint32_t address) {
  upstream_host& host = Host(address);
  host.most_running = std::max(host.most_running, ++host.running);
  if (host.running > host.slots)
    violations_["over_slots"].Add(ToDottedAddress(address));
}

void upstream_record::RecordExecution(const request& r, const flow_key& key) {
  upstream_host& host = Host(key.service.address);
  ++host.runs;
  const bool is_port_of_service =
      host.ports.empty() || host.ports.count(key.service.port) > 0;
  const std::string description = "id=" + r.id + " service=" + r.service;
  if (!host.service.empty() &&
      (host.service != r.service || !is_port_of_service))
    violations_["crossed"].Add(description + " at " + ToString(key.service) +
                               " of " + host.service);
  if (++executions_by_id_[r.id] == 1) return;
  if (key.proto == protocol::kUdp && r.idempotent) {
    ++repeated_executions_;
  } else {
    violations_["doubled"].Add(description + " at " + ToString(key.service));
  }
}

void upstream_record::RecordPayload(const flow_key& key) {
  const flow_key flow{key.caller, {}, key.proto};
  const auto [first, is_new] = upstream_of_flow_.try_emplace(flow, key.service);
  if (is_new || first->second == key.service) return;
  violations_["on_two"].Add(ToString(key) + " and " + ToString(first->second));
  first->second = key.service;
}

void upstream_record::RecordStraySegment(const flow_key& key) {
  ++Host(key.service.address).resets;
  violations_["strays"].Add(ToString(key));
}

nlohmann::json upstream_record::Report() const {
  json report = {{"ids", executions_by_id_.size()},
                 {"repeated", repeated_executions_},
                 {"malformed", malformed_},
                 {"upstreams", json::array()}};
  for (const char* kind : kReportedViolations) {
    const auto found = violations_.find(kind);
    const violation v =
        found == violations_.end() ? violation{} : found->second;
    report[kind] = {{"count", v.count}, {"examples", v.examples}};
  }
  for (const auto& [address, host] : hosts_) {
    report["upstreams"].push_back({{"address", ToDottedAddress(address)},
                                   {"service", host.service},
                                   {"open", host.open},
                                   {"most_open", host.most_open},
                                   {"running", host.running},
                                   {"most_running", host.most_running},
                                   {"runs", host.runs},
                                   {"resets", host.resets}});
  }
  return report;
}

nlohmann::json upstream_record::FindExecuted(const json& ids) const {
  json ran = json::array();
  for (const std::string id : ids)
    if (executions_by_id_.contains(id)) ran.push_back(id);
  return ran;
}

void upstream_record::Reset() {
  for (auto& [address, host] : hosts_) {
    host.most_open = host.open;
    host.most_running = host.running;
    host.runs = host.resets = 0;
  }
  executions_by_id_.clear();
  upstream_of_flow_.clear();
  repeated_executions_ = malformed_ = 0;
  violations_.clear();
}

}  // namespace radishyard
