// The flow mark: the 32 bits that both ends of a flow return in each packet and
// that name the flow's upstream, so that a balancer needs no state of the flow.
#pragma once
#include <cstdint>
#include <string>

namespace radishyard {

/// \brief Identifies an upstream in the platform's registry.
using upstream_id = uint64_t;

/// \brief The mark of an upstream: the same on every balancer and in every
/// release, never 0.
///
/// It does not depend on the upstream's incarnation: a restarted upstream
/// itself refuses packets of flows that it does not hold.
uint32_t ToFlowMark(upstream_id id);

/// \brief The id as the registry, logs and metrics spell it: hexadecimal.
std::string ToHex(upstream_id id);

}  // namespace radishyard
