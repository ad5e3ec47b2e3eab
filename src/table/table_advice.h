// Advice on services that are valid: rows that have no effect, and limits that
// contradict each other. Validation, which rejects a service, is in
// table_json.h and table_check.h.
#pragma once
#include <set>
#include <string>

#include "base/finding.h"
#include "table/service.h"

namespace radishyard {

/// \brief Largest ratio of an upstream's part of the weights to its part of the
/// slots, beyond which it is full while the other upstreams have room.
inline constexpr double kMaxWeightPerSlotRatio = 4;

/// \brief True if the upstream takes new flows, by its weight and state.
bool TakesNewFlows(const upstream& u);

/// \brief Finds rows of `s` that have no effect, and limits that contradict
/// each other. A deleted service has none.
/// \returns warnings with JSON pointers into the service.
findings AdviseOnService(const service& s);

/// \brief Finds out whether every upstream of `s` that takes new flows is in an
/// evacuated domain, so that the service takes none.
findings AdviseOnEvacuations(const service& s,
                             const std::set<std::string>& evacuated_domains);

}  // namespace radishyard
