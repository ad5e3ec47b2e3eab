// Settings of a balancer with direct server return and their JSON form.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/time.h"
#include "direct/start_limit/start_limit.h"
#include "settings/settings.h"

namespace radishyard {

/// \brief The settings of one balancer. docs/settings.md lists units and
/// bounds.
struct direct_settings {
  std::string name;
  std::string domain;                ///< Failure domain.
  uint32_t capacity_millicores = 1;  ///< CPU share of the VM.
  /// Receives callers' packets (UDP). Refusals are sent to the same port number
  /// at the caller's address.
  endpoint traffic;
  endpoint ready;    ///< Readiness page (HTTP).
  endpoint metrics;  ///< Metrics page (HTTP).
  /// Receives other balancers' reports (UDP) and snapshot requests (TCP).
  endpoint peer;
  /// Address at which other balancers reach `peer`, if it differs.
  std::optional<endpoint> peer_public;
  /// Seeds: other balancers, through which the members of the failure domain
  /// are found, also while the platform is unreachable.
  std::vector<endpoint> peers;
  /// All balancers start for the first time, and callers come seconds later.
  bool is_first_start = false;
  endpoint platform;  ///< The platform's object store (HTTP).
  /// Longest time from the start of an upstream's drain to its last new flow.
  duration drain_bound = 3s;
  /// Longest time from an edit of the routing table to its effect.
  duration edit_bound = 3s;
  /// Longest time from the request to evacuate a failure domain to the last new
  /// flow there. Nothing if requests are not to be honoured.
  std::optional<duration> evacuation_bound;
  /// Time from SIGTERM to SIGKILL.
  duration stop_grace = 6s;
  /// Capacity of the VM's network link in megabits a second.
  uint32_t link_mbps = 1000;
  /// New flows beyond the capacity of the own failure domain go to others.
  bool spill_over = false;
  /// Admission control under overload; see admission.h.
  bool is_admission_enabled = false;
  /// How the limit of openings on a cold upstream follows from the rate that
  /// the table states.
  start_bounds start;
  log_level level = log_level::kInfo;
  auto operator<=>(const direct_settings&) const = default;
};

/// \brief The address at which other balancers reach this one.
inline endpoint PublicPeerAddress(const direct_settings& s) {
  return s.peer_public.value_or(s.peer);
}

/// \brief Parses settings.
/// \param found receives one finding for each setting that is missing or
/// malformed.
/// \returns nothing if a required setting is missing or any is malformed.
std::optional<direct_settings> ParseDirectSettings(std::string_view json,
                                                   findings& found);

}  // namespace radishyard
