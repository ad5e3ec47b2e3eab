// Messages between balancers with direct server return: which table and
// upstream list the sender has, and what it has recently observed of upstreams.
// peer/peer_codec encodes them. They contain durations instead of times of day,
// because clocks differ between machines.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "direct/evacuation/evacuation_report.h"
#include "direct/load/load_message.h"
#include "direct/upstream/view_member.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief Requests to one upstream that ended since the sender's last report.
struct upstream_outcomes {
  uint64_t upstream = 0;
  uint32_t responses = 0;         ///< Requests that received a response.
  uint32_t mean_response_us = 0;  ///< Mean response time in microseconds.
  uint32_t failures = 0;
  auto operator<=>(const upstream_outcomes&) const = default;
};

/// \brief Value of `outage_age_ms` if there has been no outage lately.
inline constexpr uint32_t kNoOutage = UINT32_MAX;

/// \brief The report that a balancer sends to others each second at least.
struct view_report {
  /// Fields that every version of the protocol has; see peer/peer_codec.
  static constexpr size_t kRequiredFields = 9;
  view_member self;
  bool wants_reply = false;    ///< The sender requests members of its domain.
  bool watches_table = false;  ///< It watches the table and is answered.
  uint64_t table_version = 0;
  uint64_t revision = 0;  ///< Number, of the sender's upstream list.
  uint64_t digest = 0;    ///< ListDigest() of that list.
  uint32_t age_ms = 0;    ///< Time since that list was current.
  /// In a reply: members of the receiver's domain.
  std::vector<view_member> members;
  std::vector<upstream_outcomes> outcomes;
  /// Time since the end of the last outage of the registry, 0 during one;
  /// kNoOutage if its effects are over.
  uint32_t outage_age_ms = kNoOutage;
  /// Time since an answer of the platform, to the sender or to a balancer that
  /// reported to it, confirmed the version of the sender; see
  /// ConfirmationAgeMs().
  uint32_t table_age_ms = kNotConfirmed;
  evacuation_report evacuations;
  load_report load;    ///< Empty if the sender does not measure its load.
  uint64_t epoch = 0;  ///< Of `revision`.
  auto operator<=>(const view_report&) const = default;
};

/// \brief Requests a snapshot.
struct snapshot_request {
  uint64_t table_version = 0;      ///< Version that the sender has; 0 if none.
  uint64_t known_list_digest = 0;  ///< Digest of its list; 0 if none.
  auto operator<=>(const snapshot_request&) const = default;
};

/// \brief The share of one service in the new flows of an address.
struct view_share {
  std::string service;
  uint32_t weight = 0;
  auto operator<=>(const view_share&) const = default;
};

/// \brief A row of the routing table.
struct view_address {
  endpoint address;
  std::vector<view_share> shares;
  uint8_t retry_class = 0;  ///< Value of request_class.
  uint32_t timeout_ms = 0;
  uint32_t target_latency_ms = 0;
  uint8_t priority = 0;
  auto operator<=>(const view_address&) const = default;
};

/// \brief An entry of the upstream list.
struct view_upstream {
  static constexpr size_t kRequiredFields = 8;  ///< As in view_report.
  uint64_t id = 0;
  std::string service;
  endpoint address;
  std::string domain;
  uint32_t slots = 1;
  bool leaving = false;
  uint32_t cold_remaining_ms = 0;
  uint64_t started_unix_ms = 0;
  uint64_t sequence = 0;
  auto operator<=>(const view_upstream&) const = default;
};

/// \brief A service_start_rate of the routing table.
struct view_start_rate {
  std::string service;
  uint32_t openings_per_1000s = 0;
  uint32_t cold_start_ms = 0;
  auto operator<=>(const view_start_rate&) const = default;
};

/// \brief The sender's table and upstream list, or what the receiver lacks.
struct view_snapshot {
  static constexpr size_t kRequiredFields = 9;  ///< As in view_report.
  uint64_t table_version = 0;
  uint32_t idle_timeout_ms = 0;
  /// Empty if the receiver has this version of the table.
  std::vector<view_address> addresses;
  uint64_t revision = 0;
  uint32_t age_ms = 0;  ///< Time since the list was current.
  uint64_t digest = 0;  ///< ListDigest() of the list.
  /// Digest of the receiver's list if only the difference from it follows; 0 if
  /// the whole list follows.
  uint64_t base_digest = 0;
  /// The whole list, or added and changed entries.
  std::vector<view_upstream> upstreams;
  std::vector<uint64_t> removed;       ///< Ids; empty for a whole list.
  uint32_t outage_age_ms = kNoOutage;  ///< As in view_report.
  evacuation_report evacuations;
  std::vector<view_start_rate> start_rates;  ///< Sent with `addresses`.
  uint64_t epoch = 0;                        ///< Of `revision`.
  auto operator<=>(const view_snapshot&) const = default;
};

}  // namespace radishyard
