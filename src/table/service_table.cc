// Applies records by version, and computes the digest and the differences of
// tables.
#include "table/service_table.h"

#include <xxhash.h>

#include <utility>

namespace radishyard {
namespace {

std::vector<const service*> ListServices(const service_table& set) {
  std::vector<const service*> services;
  services.reserve(set.records.size());
  for (const auto& [name, record] : set.records)
    services.push_back(&record->value);
  return services;
}

}  // namespace

apply_result ApplyRecord(service_table& set, service_record record,
                         findings& found) {
  if (record.value.name.empty() || record.version == 0)
    return apply_result::kRejected;
  const std::string name = record.value.name;
  const auto present = set.records.find(name);
  if (present != set.records.end()) {
    const uint64_t version = present->second->version;
    if (version > record.version) return apply_result::kOlder;
    if (version == record.version) return apply_result::kSame;
  }
  const auto new_record =
      std::make_shared<const service_record>(std::move(record));
  for (const table_conflict& c :
       FindClashesOfService(new_record->value, ListServices(set))) {
    finding f = ToFinding(c);
    found.Add(std::move(f.place), std::move(f.reason));
  }
  set.records[name] = new_record;
  return apply_result::kApplied;
}

std::vector<table_conflict> FindTableConflicts(const service_table& set) {
  return FindClashes(ListServices(set));
}

uint64_t ComputeTableDigest(const service_table& set) {
  uint64_t digest = 0;
  for (const auto& [name, record] : set.records)
    digest += XXH3_64bits_withSeed(name.data(), name.size(), record->version);
  return digest;
}

std::vector<service_version> ListVersions(const service_table& set) {
  std::vector<service_version> versions;
  versions.reserve(set.records.size());
  for (const auto& [name, record] : set.records)
    versions.push_back({name, record->version});
  return versions;
}

std::vector<service_record_ptr> FindNewerRecords(
    const service_table& set, const std::vector<service_version>& versions) {
  std::map<std::string, uint64_t> peer_versions;
  for (const service_version& v : versions) peer_versions[v.name] = v.version;
  std::vector<service_record_ptr> newer;
  for (const auto& [name, record] : set.records) {
    const auto it = peer_versions.find(name);
    if (it == peer_versions.end() || it->second < record->version)
      newer.push_back(record);
  }
  return newer;
}

}  // namespace radishyard
