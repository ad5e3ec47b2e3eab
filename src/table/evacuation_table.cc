// Applies evacuation records by version, and converts them from and to JSON.
#include "table/evacuation_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "table/json_check.h"
#include "table/json_read.h"

namespace radishyard {
namespace {

using internal::MakeIntegerSchema;
using internal::MakeObjectSchema;
using internal::ReadField;
using nlohmann::json;

// As in a service's record.
constexpr int64_t kMaxVersion = int64_t{1} << 53;
constexpr size_t kMaxEditIdBytes = 64;

json MakeEvacuationSchema() {
  // An edit that replaces a malformed record keeps its version without an id.
  const json edit_id{{"type", "string"}, {"maxLength", kMaxEditIdBytes}};
  const json edit = MakeObjectSchema(
      {{"id", edit_id}, {"version", MakeIntegerSchema(1, kMaxVersion)}},
      {"id", "version"});
  return MakeObjectSchema(
      {{"domain", {{"type", "string"}}},
       {"evacuated", {{"type", "boolean"}}},
       {"edit_id", edit_id},
       {"earlier_edits",
        {{"type", "array"}, {"items", edit}, {"maxItems", kMaxEarlierEdits}}}},
      {"domain", "evacuated", "edit_id"});
}

}  // namespace

apply_result ApplyEvacuation(evacuation_table& table,
                             evacuation_record record) {
  if (record.domain.empty() || record.version == 0)
    return apply_result::kRejected;
  evacuation_record& present = table.records[record.domain];
  if (present.version > record.version) return apply_result::kOlder;
  if (present.version == record.version) return apply_result::kSame;
  present = std::move(record);
  return apply_result::kApplied;
}

std::set<std::string> EvacuatedDomains(const evacuation_table& table) {
  std::set<std::string> domains;
  for (const auto& [domain, record] : table.records)
    if (record.evacuated) domains.insert(domain);
  return domains;
}

uint64_t ComputeEvacuationDigest(const evacuation_table& table) {
  uint64_t digest = 0;
  for (const auto& [domain, record] : table.records) {
    digest +=
        XXH3_64bits_withSeed(domain.data(), domain.size(), record.version);
  }
  return digest;
}

std::vector<service_version> ListEvacuationVersions(
    const evacuation_table& table) {
  std::vector<service_version> versions;
  versions.reserve(table.records.size());
  for (const auto& [domain, record] : table.records)
    versions.push_back({domain, record.version});
  return versions;
}

std::vector<evacuation_record> FindNewerEvacuations(
    const evacuation_table& table,
    const std::vector<service_version>& versions) {
  std::map<std::string, uint64_t> peer_versions;
  for (const service_version& v : versions) peer_versions[v.name] = v.version;
  std::vector<evacuation_record> newer;
  for (const auto& [domain, record] : table.records)
    if (peer_versions[domain] < record.version) newer.push_back(record);
  return newer;
}

std::string ToEvacuationKey(const std::string& domain) {
  return std::string(kEvacuationKeyPrefix) + domain;
}

std::optional<evacuation_record> ParseEvacuation(std::string_view text,
                                                 uint64_t version,
                                                 findings& found) {
  static const internal::json_schema schema{MakeEvacuationSchema()};
  findings own_findings;
  const std::optional<json> document = internal::ParseJson(text, own_findings);
  evacuation_record record;
  record.version = version;
  if (document) {
    schema.Check(*document, own_findings);
    internal::ReadName(*document, "domain", "", record.domain, own_findings);
    ReadField(*document, "evacuated", record.evacuated);
    ReadField(*document, "edit_id", record.edit_id);
    record.earlier_edits = ParseEarlierEdits(text);
  }
  found.Append(own_findings);
  if (!own_findings.empty()) return std::nullopt;
  return record;
}

std::string ToJson(const evacuation_record& record) {
  json edits = json::array();
  for (const earlier_edit& edit : record.earlier_edits) {
    if (edits.size() == kMaxEarlierEdits) break;
    edits.push_back({{"id", edit.id}, {"version", edit.version}});
  }
  return json{{"domain", record.domain},
              {"evacuated", record.evacuated},
              {"edit_id", record.edit_id},
              {"earlier_edits", std::move(edits)}}
      .dump();
}

}  // namespace radishyard
