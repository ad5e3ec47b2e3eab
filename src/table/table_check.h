// Checks across services: what two services may not share.
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

/// \brief What two services claim at once.
enum class table_conflict_kind : uint8_t {
  kUpstreamEndpoint,   ///< The same protocol, address and port of an upstream.
  kServiceEndpoint,    ///< The same protocol, address and port towards callers.
  kServiceAsUpstream,  ///< The address of one service is an upstream of
                       ///< another.
};

/// \brief One clash between two services. Invariant: first_service sorts before
/// second_service, but for kServiceAsUpstream, where first_service has the
/// address and second_service the upstream.
struct table_conflict {
  table_conflict_kind kind = table_conflict_kind::kUpstreamEndpoint;
  protocol proto = protocol::kTcp;  ///< kTcp for kServiceAsUpstream.
  endpoint place;                   ///< Port 0 for kServiceAsUpstream.
  std::string first_service;
  std::string second_service;
  auto operator<=>(const table_conflict&) const = default;
};

/// \brief All clashes among `services`, sorted; deleted services take no part.
///
/// The result depends on the values only, not on their order, so every balancer
/// with the same table finds the same clashes.
std::vector<table_conflict> FindClashes(
    std::span<const service* const> services);

/// \brief The clashes of `s` with each of `others`, one of which may be an
/// older form of `s` itself; far cheaper than FindClashes over all.
std::vector<table_conflict> FindClashesOf(
    const service& s, std::span<const service* const> others);

/// \brief The clash as a finding, placed at "/<service>".
finding ToFinding(const table_conflict& c);

}  // namespace radishyard
