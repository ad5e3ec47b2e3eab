// Tables and rosters of any size for the benchmarks. As in the planned full
// installation, a service has two or three upstreams, no two of them in the
// same failure domain.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "roster/roster.h"
#include "table/service_table.h"

namespace radishyard {

/// \brief Sizes of the planned full installation.
constexpr size_t kInstallationServices = 2500;
constexpr size_t kInstallationDomains = 13;
constexpr size_t kBalancersPerDomain = 77;

std::string DomainName(size_t index);
std::string ServiceName(size_t index);

/// \brief Makes the service `index` with two upstreams, or three for every
/// fifth service. 2,500 services thus have 5,500 upstreams; each of 13 domains
/// has 422 to 425 pools.
service MakeService(size_t index, size_t domains = kInstallationDomains);

/// \brief Makes a table of the services 0 to `services` - 1 with version 1.
service_table MakeServiceTable(size_t services,
                               size_t domains = kInstallationDomains);

/// \brief Makes the roster entry of balancer `index` of the domain. All its
/// ports have the number `base_port` + `index`.
member MakeMember(size_t domain_index, size_t index, uint16_t base_port);

/// \brief Makes a roster of `members` balancers, with all pools of the table in
/// the domain. The pools are assigned to the balancers round-robin.
roster MakeRoster(const service_table& table, size_t domain_index,
                  size_t members, uint16_t base_port);

}  // namespace radishyard
