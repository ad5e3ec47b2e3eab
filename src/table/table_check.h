// Checks across services: finds addresses and endpoints that two services must
// not share.
#pragma once
#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/finding.h"
#include "packet/flow_key.h"
#include "table/service.h"

namespace radishyard {

/// \brief What two services have in common although they must not.
enum class table_conflict_kind : uint8_t {
  kUpstreamEndpoint,   ///< Protocol, address and port of an upstream.
  kServiceEndpoint,    ///< Protocol, address and port towards callers.
  kServiceAsUpstream,  ///< The address of one service is the address of an
                       ///< upstream of the other.
};

/// \brief A conflict between two services.
///
/// Invariant: first_service sorts before second_service, except for
/// kServiceAsUpstream, where first_service has the address and second_service
/// has the upstream.
struct table_conflict {
  table_conflict_kind kind = table_conflict_kind::kUpstreamEndpoint;
  protocol proto = protocol::kTcp;  ///< kTcp for kServiceAsUpstream.
  endpoint place;                   ///< Port 0 for kServiceAsUpstream.
  std::string first_service;
  std::string second_service;
  auto operator<=>(const table_conflict&) const = default;
};

/// \brief Finds all conflicts among `services`, except for deleted services.
///
/// The result does not depend on the order of `services`, so every balancer
/// with the same table finds the same conflicts.
/// \returns the conflicts in sorted order.
std::vector<table_conflict> FindConflicts(
    std::span<const service* const> services);

/// \brief Finds the conflicts between `s` and each of `others`. This is far
/// cheaper than FindConflicts over all of them.
/// \param others may contain an older version of `s`, which is ignored.
std::vector<table_conflict> FindConflictsOfService(
    const service& s, std::span<const service* const> others);

/// \brief Converts the conflict to a finding at the place "/<second_service>".
finding ToFinding(const table_conflict& c);

}  // namespace radishyard
