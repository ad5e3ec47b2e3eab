// Numbered services, members and assignments.
#include "support/cluster_data.h"

#include <algorithm>

namespace radishyard {
namespace {

constexpr uint32_t kServices = 0x0a400000;   // First address of a service.
constexpr uint32_t kUpstreams = 0x0a800000;  // First address of an upstream.
constexpr uint32_t kLoopback = 0x7f000001;
constexpr size_t kMostUpstreams = 3;

bool HasRows(const service& s, const std::string& domain) {
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
            .address = kServices + static_cast<uint32_t>(index)};
  s.ports = {{7000, 7000}};
  const size_t rows = index % 5 == 0 ? kMostUpstreams : kMostUpstreams - 1;
  for (size_t i = 0; i < rows; ++i) {
    const size_t number = index * kMostUpstreams + i;
    s.upstreams.push_back({"upstream-" + std::to_string(number),
                           kUpstreams + static_cast<uint32_t>(number),
                           DomainName((index + i) % domains), 10, 100, 2000});
  }
  return s;
}

service_table MakeTable(size_t services, size_t domains) {
  service_table table;
  for (size_t i = 0; i < services; ++i) {
    table.records[ServiceName(i)] = std::make_shared<const service_record>(
        service_record{MakeService(i, domains), 1, "first-edit"});
  }
  return table;
}

member MakeMember(size_t domain, size_t index, uint16_t base_port) {
  member m;
  m.id = {DomainName(domain) + "-vm-" + std::to_string(index), 1};
  m.domain = DomainName(domain);
  const auto port = static_cast<uint16_t>(base_port + index);
  m.data = {kLoopback, port};
  m.control = {kLoopback, port};
  m.admin = {kLoopback, port};
  return m;
}

roster MakeRoster(const service_table& table, size_t domain, size_t members,
                  uint16_t base_port) {
  roster r{.domain = DomainName(domain), .epoch = 1};
  for (size_t i = 0; i < members; ++i)
    r.members.push_back(MakeMember(domain, i, base_port));
  for (const auto& [name, record] : table.records) {
    if (!HasRows(record->value, r.domain)) continue;
    const size_t at = r.pools.size();
    pool_assignment pool{.service = name, .owner = r.members[at % members].id};
    for (size_t i = 1; i <= 2 && i < members; ++i)
      pool.successors.push_back(r.members[(at + i) % members].id);
    pool.since_epoch = pool.successors_epoch = 1;
    r.pools.push_back(std::move(pool));
  }
  return r;
}

}  // namespace radishyard
