// Tables and rosters of any size, shaped as the later installation's: two or
// three upstreams a service, each in another failure domain.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "roster/roster.h"
#include "table/service_table.h"

namespace radishyard {

/// Sizes of the later installation.
constexpr size_t kFullServices = 2500;
constexpr size_t kFullDomains = 13;
constexpr size_t kFullMembers = 77;  // Balancers in one failure domain.

std::string DomainName(size_t index);
std::string ServiceName(size_t index);

/// \brief The service: two upstreams, or three for every fifth; 5,500 upstreams
/// in 2,500 services, and 423 pools in each of 13 domains.
service MakeService(size_t index, size_t domains = kFullDomains);

/// \brief The services 0 to `services` - 1, each with version 1.
service_table MakeTable(size_t services, size_t domains = kFullDomains);

/// \brief A balancer of the domain.
/// \param base_port of its control port, which is base_port + index.
member MakeMember(size_t domain, size_t index, uint16_t base_port);

/// \brief A roster with all pools of the table in the domain, owned in turn.
roster MakeRoster(const service_table& table, size_t domain, size_t members,
                  uint16_t base_port);

}  // namespace radishyard
