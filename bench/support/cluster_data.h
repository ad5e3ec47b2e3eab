// Tables and rosters of any size for the benchmarks, in the shape of the
// planned full installation: two or three upstreams per service, each in
// another failure domain.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "roster/roster.h"
#include "table/service_table.h"

namespace radishyard {

/// Sizes of the planned full installation.
constexpr size_t kFullServices = 2500;
constexpr size_t kFullDomains = 13;
constexpr size_t kFullMembers = 77;  // Balancers in one failure domain.

std::string DomainName(size_t index);
std::string ServiceName(size_t index);

/// \brief Makes the service `index` with two upstreams, or three for every
/// fifth service. This gives 5,500 upstreams in 2,500 services, and 423 pools
/// in each of 13 domains.
service MakeService(size_t index, size_t domains = kFullDomains);

/// \brief Makes a table of the services 0 to `services` - 1 with version 1.
service_table MakeTable(size_t services, size_t domains = kFullDomains);

/// \brief Makes balancer `index` of the domain.
/// \param base_port its ports are `base_port` + `index`.
member MakeMember(size_t domain, size_t index, uint16_t base_port);

/// \brief Makes a roster with all pools of the table in the domain. The members
/// own them in turn.
roster MakeRoster(const service_table& table, size_t domain, size_t members,
                  uint16_t base_port);

}  // namespace radishyard
