// Messages between balancers with direct server return: what each knows of
// table and upstreams, and what it has learned lately. peer/peer_codec carries
// them; times are durations, since clocks differ.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief A balancer as others reach it.
struct view_member {
  endpoint peer;       ///< For reports (UDP) and snapshots (TCP).
  std::string domain;  ///< Failure domain.
  uint32_t size = 1;   ///< Relative capacity; larger ones read the platform.
  auto operator<=>(const view_member&) const = default;
};

/// \brief Requests of one upstream that ended since the sender's last report.
struct upstream_outcomes {
  uint64_t upstream = 0;
  uint32_t responses = 0;
  uint32_t mean_response_us = 0;  ///< Mean time to answer, in microseconds.
  uint32_t failures = 0;
  auto operator<=>(const upstream_outcomes&) const = default;
};

/// \brief What a balancer tells others about once a second.
struct view_report {
  view_member self;
  bool wants_reply = false;    ///< The sender looks for members of its domain.
  bool watches_table = false;  ///< It watches the table and was not cut off.
  uint64_t table_version = 0;
  uint64_t revision = 0;             ///< Of its last list of upstreams.
  uint64_t digest = 0;               ///< Of that list; see ListDigest().
  uint32_t age_ms = 0;               ///< Since the list was current.
  std::vector<view_member> members;  ///< Of the receiver's domain.
  std::vector<upstream_outcomes> outcomes;
  auto operator<=>(const view_report&) const = default;
};

/// \brief Asks for a snapshot.
struct snapshot_request {
  uint64_t table_version = 0;      ///< That the sender has; 0: none.
  uint64_t known_list_digest = 0;  ///< Of the list that it has; 0: none.
  auto operator<=>(const snapshot_request&) const = default;
};

/// \brief A service's share of an address.
struct view_share {
  std::string service;
  uint32_t weight = 0;
  auto operator<=>(const view_share&) const = default;
};

/// \brief A row of the table.
struct view_address {
  endpoint address;
  std::vector<view_share> shares;
  uint8_t retry_class = 0;  ///< A request_class.
  uint32_t timeout_ms = 0;
  uint32_t target_latency_ms = 0;
  uint8_t priority = 0;
  auto operator<=>(const view_address&) const = default;
};

/// \brief An upstream of the list.
struct view_upstream {
  uint64_t id = 0;
  std::string service;
  endpoint address;
  std::string domain;
  uint32_t slots = 1;
  bool leaving = false;
  uint32_t cold_remaining_ms = 0;
  uint64_t started_unix_ms = 0;
  auto operator<=>(const view_upstream&) const = default;
};

/// \brief Table and upstreams as the sender knows them.
struct view_snapshot {
  uint64_t table_version = 0;
  uint32_t idle_timeout_ms = 0;
  std::vector<view_address> addresses;  ///< Empty where the asker has them.
  uint64_t revision = 0;
  uint32_t age_ms = 0;  ///< Of the list.
  uint64_t digest = 0;  ///< Of the list.
  /// Digest of the asker's list, where only the difference from it follows; 0
  /// where the whole list does.
  uint64_t base_digest = 0;
  std::vector<view_upstream> upstreams;  ///< All, or added and changed ones.
  std::vector<uint64_t> removed;         ///< Ids; empty for a whole list.
  auto operator<=>(const view_snapshot&) const = default;
};

}  // namespace radishyard
