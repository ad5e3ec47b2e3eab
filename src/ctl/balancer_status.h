// The part of a balancer's status page that radishyardctl uses.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishyard {

/// \brief Counts of one pool as reported by one balancer.
struct pool_status {
  std::string service;
  std::string domain;
  bool is_owner = false;
  uint64_t connections = 0;
  uint64_t slots = 0;
  uint64_t queued = 0;
  auto operator<=>(const pool_status&) const = default;
};

/// \brief Content of a balancer's page GET /status.
struct balancer_status {
  std::string balancer;
  std::string domain;
  uint64_t incarnation = 0;
  std::map<std::string, uint64_t> versions;  ///< Applied version, by service.
  std::map<std::string, uint64_t> epochs;    ///< Epoch, by failure domain.
  /// Version of the applied evacuation, by failure domain.
  std::map<std::string, uint64_t> evacuations;
  uint64_t open_flows = 0;
  uint64_t queued_flows = 0;
  std::vector<pool_status> pools;
  auto operator<=>(const balancer_status&) const = default;
};

/// \brief Parses a status page. Unknown fields are ignored, so that the page of
/// a newer release can be read; missing fields keep their defaults.
/// \returns nothing if the page is not a JSON object.
std::optional<balancer_status> ParseStatus(std::string_view json);

}  // namespace radishyard
