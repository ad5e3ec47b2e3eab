// Builds tables and rosters from numbered services and members.
#include "support/cluster_data.h"

#include <algorithm>

namespace radishyard {
namespace {

constexpr uint32_t kFirstServiceAddress = 0x0a400000;  // Address of service 0.
constexpr uint32_t kFirstUpstreamAddress =
    0x0a800000;  // Address of upstream 0.
constexpr uint32_t kLoopbackAddress = 0x7f000001;
constexpr size_t kMaxUpstreamsPerService = 3;

bool HasUpstreamsIn(const service& s, const std::string& domain) {
  return std::ranges::any_of(s.upstreams, [&domain](const upstream& row) {
    return row.domain == domain;
  });
}

}  // namespace

std::string DomainName(size_t index) {
  return "domain-" + std::to_string(index);
}

std::string ServiceName(size_t index) {
  return "service-" + std::to_string(index);
}

service MakeService(size_t index, size_t domains) {
  service s{.name = ServiceName(index),
            .address = kFirstServiceAddress + static_cast<uint32_t>(index)};
  s.ports = {{7000, 7000}};
  const size_t rows =
      index % 5 == 0 ? kMaxUpstreamsPerService : kMaxUpstreamsPerService - 1;
  for (size_t i = 0; i < rows; ++i) {
    const size_t number = index * kMaxUpstreamsPerService + i;
    s.upstreams.push_back(
        {"upstream-" + std::to_string(number),
         kFirstUpstreamAddress + static_cast<uint32_t>(number),
         DomainName((index + i) % domains), 10, 100, 2000});
  }
  return s;
}

service_table MakeServiceTable(size_t services, size_t domains) {
  service_table table;
  for (size_t i = 0; i < services; ++i) {
    table.records[ServiceName(i)] = std::make_shared<const service_record>(
        service_record{MakeService(i, domains), 1, "first-edit"});
  }
  return table;
}

member MakeMember(size_t domain_index, size_t index, uint16_t base_port) {
  member m;
  m.id = {DomainName(domain_index) + "-vm-" + std::to_string(index), 1};
  m.domain = DomainName(domain_index);
  const auto port = static_cast<uint16_t>(base_port + index);
  m.data = {kLoopbackAddress, port};
  m.control = {kLoopbackAddress, port};
  m.admin = {kLoopbackAddress, port};
  return m;
}

roster MakeRoster(const service_table& table, size_t domain_index,
                  size_t members, uint16_t base_port) {
  roster r{.domain = DomainName(domain_index), .epoch = 1};
  for (size_t i = 0; i < members; ++i)
    r.members.push_back(MakeMember(domain_index, i, base_port));
  for (const auto& [name, record] : table.records) {
    if (!HasUpstreamsIn(record->value, r.domain)) continue;
    const size_t owner_index = r.pools.size();
    pool_assignment pool{.service = name,
                         .owner = r.members[owner_index % members].id};
    for (size_t i = 1; i <= 2 && i < members; ++i)
      pool.successors.push_back(r.members[(owner_index + i) % members].id);
    pool.since_epoch = pool.successors_epoch = 1;
    r.pools.push_back(std::move(pool));
  }
  return r;
}

}  // namespace radishyard
