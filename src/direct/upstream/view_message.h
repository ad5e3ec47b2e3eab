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

#include "packet/flow_key.h"

namespace radishyard {

/// \brief A balancer as seen by other balancers.
struct view_member {
  endpoint peer;       ///< Address for reports (UDP) and snapshots (TCP).
  std::string domain;  ///< Failure domain.
  /// CPU share of the VM, in thousandths of a core. The balancers with the
  /// largest shares read the platform's table and upstream list.
  uint32_t capacity_millicores = 1;
  auto operator<=>(const view_member&) const = default;
};

/// \brief Requests to one upstream that ended since the sender's last report.
struct upstream_outcomes {
  uint64_t upstream = 0;
  uint32_t responses = 0;         ///< Requests that received a response.
  uint32_t mean_response_us = 0;  ///< Mean response time in microseconds.
  uint32_t failures = 0;
  auto operator<=>(const upstream_outcomes&) const = default;
};

/// \brief The load that the callers of one balancer, or of all balancers of a
/// domain, cause on one service in one failure domain of upstreams.
struct load_sample {
  std::string service;
  std::string domain;  ///< Failure domain of the upstreams.
  /// Requests in service or queued, mean over the interval, in thousandths.
  uint32_t busy_milli = 0;
  uint32_t ended_milli_per_s = 0;  ///< Requests that ended, also failed ones.
  uint32_t failures_milli_per_s = 0;  ///< Of these, failed ones.
  auto operator<=>(const load_sample&) const = default;
};

/// \brief What a balancer has measured of its own load since its last report.
struct load_report {
  uint32_t interval_ms = 0;  ///< Time measured; 0 if nothing was.
  std::vector<load_sample> samples;
  /// Open flows on each upstream of the list with the report's digest, by
  /// ascending id; 255 for more. Empty if the list is too long.
  std::vector<uint8_t> upstream_flows;
  auto operator<=>(const load_report&) const = default;
};

/// \brief The sum of the samples of all balancers of one domain.
struct domain_sum {
  std::string domain;   ///< Failure domain of the balancers.
  uint32_t age_ms = 0;  ///< Mean time since its samples were received.
  std::vector<load_sample> samples;
  auto operator<=>(const domain_sum&) const = default;
};

/// \brief The sums that a reader sends to the members of its domain, or the sum
/// of its own domain that it sends to another one.
struct load_notice {
  view_member sender;
  std::vector<domain_sum> sums;
  uint64_t list_digest = 0;  ///< ListDigest() of the list of `upstream_flows`.
  /// Open flows on each upstream of that list, by ascending id, over the
  /// balancers of the sender's domain; empty if not known.
  std::vector<uint16_t> upstream_flows;
  auto operator<=>(const load_notice&) const = default;
};

/// \brief Value of `outage_age_ms` if there has been no outage lately.
inline constexpr uint32_t kNoOutage = UINT32_MAX;

/// \brief Value of `table_age_ms` if the table was not confirmed lately.
inline constexpr uint32_t kNotConfirmed = UINT32_MAX;

/// \brief The evacuated failure domains as a balancer knows them; see
/// evacuation.h.
struct evacuation_report {
  /// Fields that every version of the protocol has; see peer/peer_codec.
  static constexpr size_t kRequiredFields = 4;
  uint64_t revision = 0;  ///< Number of the revision; 0 if nothing is known.
  /// Time since the platform confirmed the domains to the sender, or to a
  /// balancer that reported to it; kNotConfirmed if neither has been the case.
  uint32_t age_ms = kNotConfirmed;
  bool is_read_by_sender = false;  ///< `age_ms` is of a read of the sender.
  std::vector<std::string> domains;
  uint64_t epoch = 0;  ///< Of the revision.
  auto operator<=>(const evacuation_report&) const = default;
};

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

/// \brief An upstream and the time since an event.
struct upstream_age {
  uint64_t upstream = 0;
  uint32_t age_ms = 0;
  auto operator<=>(const upstream_age&) const = default;
};

/// \brief An upstream that leaves data unanswered.
struct silent_upstream {
  /// Fields that every version of the protocol has; see peer/peer_codec.
  static constexpr size_t kRequiredFields = 2;
  uint64_t upstream = 0;
  uint32_t age_ms = 0;  ///< Since the first unanswered data was forwarded.
  /// IPv4 addresses of callers that have retransmitted the same data
  /// repeatedly; see silent_caller.
  std::vector<uint32_t> callers;
  auto operator<=>(const silent_upstream&) const = default;
};

/// \brief Tells other balancers of upstreams that leave data unanswered, or
/// contradicts such a notice.
struct silence_notice {
  endpoint sender;
  std::vector<silent_upstream> silent;
  std::vector<upstream_age> alive;  ///< Since the last sign of life.
  auto operator<=>(const silence_notice&) const = default;
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
