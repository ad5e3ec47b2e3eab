// The flow mark: 32 bits that identify a flow's upstream. Both ends of a flow
// return them in each packet, so a balancer can forward packets of an open flow
// without any state of that flow.
#pragma once
#include <cstdint>
#include <string>

namespace radishyard {

/// \brief Identifies an upstream in the platform's registry.
using upstream_id = uint64_t;

/// \brief Computes the mark of an upstream: the same on every balancer and in
/// every release, never 0.
///
/// The mark does not depend on the upstream's incarnation, because a restarted
/// upstream itself refuses packets of flows that it does not have.
uint32_t ToFlowMark(upstream_id id);

/// \brief Formats an id as in the registry, logs and metrics: hexadecimal.
std::string ToHex(upstream_id id);

}  // namespace radishyard
