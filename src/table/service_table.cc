// Applies records by version, and computes the digest and the differences of
// tables.
#include "table/service_table.h"

#include <xxhash.h>

#include <utility>

namespace radishyard {
namespace {

std::vector<const service*> ListServices(const service_table& table) {
  std::vector<const service*> services;
  services.reserve(table.records.size());
  for (const auto& [name, record] : table.records)
    services.push_back(&record->value);
  return services;
}

}  // namespace

apply_result ApplyRecord(service_table& table, service_record record,
                         findings& found) {
  if (record.value.name.empty() || record.version == 0)
    return apply_result::kRejected;
  const std::string name = record.value.name;
  const auto present = table.records.find(name);
  if (present != table.records.end()) {
    const uint64_t version = present->second->version;
    if (version > record.version) return apply_result::kOlder;
    if (version == record.version) return apply_result::kSame;
  }
  const auto new_record =
      std::make_shared<const service_record>(std::move(record));
  for (const table_conflict& c :
       FindConflictsOfService(new_record->value, ListServices(table))) {
    finding f = ToFinding(c);
    found.Add(std::move(f.place), std::move(f.reason));
  }
  table.records[name] = new_record;
  return apply_result::kApplied;
}

std::vector<table_conflict> FindTableConflicts(const service_table& table) {
  return FindConflicts(ListServices(table));
}

uint64_t ComputeTableDigest(const service_table& table) {
  uint64_t digest = 0;
  for (const auto& [name, record] : table.records)
    digest += XXH3_64bits_withSeed(name.data(), name.size(), record->version);
  return digest;
}

std::vector<service_version> ListVersions(const service_table& table) {
  std::vector<service_version> versions;
  versions.reserve(table.records.size());
  for (const auto& [name, record] : table.records)
    versions.push_back({name, record->version});
  return versions;
}

std::vector<service_record_ptr> FindNewerRecords(
    const service_table& table, const std::vector<service_version>& versions) {
  std::map<std::string, uint64_t> peer_versions;
  for (const service_version& v : versions) peer_versions[v.name] = v.version;
  std::vector<service_record_ptr> newer;
  for (const auto& [name, record] : table.records) {
    const auto it = peer_versions.find(name);
    if (it == peer_versions.end() || it->second < record->version)
      newer.push_back(record);
  }
  return newer;
}

}  // namespace radishyard
