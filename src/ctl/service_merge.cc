// Compares and merges services in a JSON form in which the lists of upstreams
// and ports are objects with one member per row, so that a single recursion
// handles all fields.
#include "ctl/service_merge.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "table/json_check.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

using internal::JoinJsonPointer;
using nlohmann::json;

std::string PortKey(const json& row) {
  return row["protocol"].get<std::string>() + ":" + row["port"].dump();
}

std::string UpstreamKey(const json& row) {
  return row["name"].get<std::string>();
}

template <typename KeyOf>
json ToKeyedRows(const json& rows, KeyOf key_of) {
  json keyed = json::object();
  for (const json& row : rows) keyed[key_of(row)] = row;
  return keyed;
}

// Returns the JSON of a service with its lists converted to objects.
json ToKeyedJson(const service& s) {
  json form = json::parse(ToJson(s));
  form["ports"] = ToKeyedRows(form["ports"], PortKey);
  form["upstreams"] = ToKeyedRows(form["upstreams"], UpstreamKey);
  return form;
}

// Converts an object back to a list. Rows that `order` contains come first, in
// its order.
template <typename KeyOf>
json ToRowList(json keyed, const json& order, KeyOf key_of) {
  json rows = json::array();
  for (const json& row : order) {
    const auto it = keyed.find(key_of(row));
    if (it == keyed.end()) continue;
    rows.push_back(*it);
    keyed.erase(it);
  }
  for (const auto& [key, row] : keyed.items()) rows.push_back(row);
  return rows;
}

json FieldOrNull(const json& object, const std::string& key) {
  const auto it = object.find(key);
  return it == object.end() ? json() : *it;
}

json UniteKeys(const json& first, const json& second) {
  json keys = first;
  keys.update(second);
  return keys;
}

std::string DumpOrEmpty(const json& value) {
  return value.is_null() ? "" : value.dump();
}

void AddChanges(const json& before, const json& after, const std::string& place,
                std::vector<service_change>& changes) {
  if (before == after) return;
  if (!before.is_object() || !after.is_object()) {
    changes.push_back({place, DumpOrEmpty(before), DumpOrEmpty(after)});
    return;
  }
  const json keys = UniteKeys(before, after);
  for (const auto& [key, ignored] : keys.items()) {
    AddChanges(FieldOrNull(before, key), FieldOrNull(after, key),
               JoinJsonPointer(place, key), changes);
  }
}

json MergeJson(const json& base, const json& mine, const json& theirs,
               const std::string& place, findings& conflicts) {
  if (mine == theirs || theirs == base) return mine;
  if (mine == base) return theirs;
  if (!mine.is_object() || !theirs.is_object()) {
    conflicts.Add(place, "was " + DumpOrEmpty(base) + ", your edit makes it " +
                             DumpOrEmpty(mine) + ", the store has " +
                             DumpOrEmpty(theirs));
    return theirs;
  }
  const json origin = base.is_object() ? base : json::object();
  const json keys = UniteKeys(mine, theirs);
  json merged = json::object();
  for (const auto& [key, ignored] : keys.items()) {
    json value = MergeJson(FieldOrNull(origin, key), FieldOrNull(mine, key),
                           FieldOrNull(theirs, key),
                           JoinJsonPointer(place, key), conflicts);
    if (!value.is_null()) merged[key] = std::move(value);
  }
  return merged;
}

}  // namespace

std::vector<service_change> DiffServices(const service& before,
                                         const service& after) {
  std::vector<service_change> changes;
  AddChanges(ToKeyedJson(before), ToKeyedJson(after), "", changes);
  return changes;
}

std::optional<service> MergeServices(const service& base, const service& mine,
                                     const service& theirs,
                                     findings& conflicts) {
  findings found;
  json merged = MergeJson(ToKeyedJson(base), ToKeyedJson(mine),
                          ToKeyedJson(theirs), "", found);
  const json order = json::parse(ToJson(theirs));
  merged["ports"] = ToRowList(merged["ports"], order["ports"], PortKey);
  merged["upstreams"] =
      ToRowList(merged["upstreams"], order["upstreams"], UpstreamKey);
  std::optional<service> merged_service;
  if (found.empty()) merged_service = ParseService(merged.dump(), found);
  conflicts.Append(found);
  return merged_service;
}

}  // namespace radishyard
