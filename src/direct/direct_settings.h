// Settings of a balancer with direct server return, read from JSON.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/time.h"
#include "settings/settings.h"

namespace radishyard {

/// \brief Everything that one balancer is told. docs/settings.md has the units
/// and bounds.
struct direct_settings {
  std::string name;
  std::string domain;                ///< Failure domain.
  uint32_t capacity_millicores = 1;  ///< Relative capacity of the VM.
  endpoint traffic;  ///< Where callers' packets arrive (UDP). Callers take
                     ///< refusals at the same port of theirs.
  endpoint ready;    ///< Readiness page (HTTP).
  endpoint metrics;  ///< Metrics page (HTTP).
  endpoint peer;     ///< Reports (UDP) and snapshots (TCP) of others.
  std::optional<endpoint> peer_public;  ///< Where others reach `peer`, if it
                                        ///< is mapped.
  std::vector<endpoint>
      peers;                  ///< Balancers to ask while the platform is away.
  endpoint platform;          ///< The platform's store (HTTP).
  duration drain_bound = 3s;  ///< From a leave to the last new flow.
  duration edit_bound = 3s;   ///< From an edit to its effect.
  duration stop_grace = 6s;   ///< From SIGTERM to SIGKILL.
  log_level level = log_level::kInfo;
  auto operator<=>(const direct_settings&) const = default;
};

/// \brief Where other balancers reach this one.
inline endpoint PublicPeerAddress(const direct_settings& s) {
  return s.peer_public.value_or(s.peer);
}

/// \brief Reads settings and reports every fault together.
/// \returns nothing where a required setting is missing or any is malformed.
std::optional<direct_settings> ParseDirectSettings(std::string_view json,
                                                   findings& found);

}  // namespace radishyard
