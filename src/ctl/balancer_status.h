// The status page of a balancer, as the tool reads it.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishyard {

/// \brief Counts of one pool, as a balancer reports them.
struct pool_status {
  std::string service;
  std::string domain;
  bool is_owner = false;
  uint64_t connections = 0;
  uint64_t slots = 0;
  uint64_t queued = 0;
  auto operator<=>(const pool_status&) const = default;
};

/// \brief What GET /status of a balancer tells.
struct balancer_status {
  std::string balancer;
  std::string domain;
  uint64_t incarnation = 0;
  std::map<std::string, uint64_t> versions;  ///< By service.
  std::map<std::string, uint64_t> epochs;    ///< By failure domain.
  uint64_t open_flows = 0;
  uint64_t queued_flows = 0;
  std::vector<pool_status> pools;
  auto operator<=>(const balancer_status&) const = default;
};

/// \brief Reads a status page; nothing where it is no JSON object. Unknown
/// members are ignored, so that a page of a newer release can be read.
std::optional<balancer_status> ParseStatus(std::string_view json);

}  // namespace radishyard
