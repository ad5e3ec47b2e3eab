// Works on a JSON form whose rows are keyed, so that one recursion serves all
// fields.
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
json Keyed(const json& rows, KeyOf key_of) {
  json keyed = json::object();
  for (const json& row : rows) keyed[key_of(row)] = row;
  return keyed;
}

// The service with its lists turned into objects.
json KeyedForm(const service& s) {
  json form = json::parse(ToJson(s));
  form["ports"] = Keyed(form["ports"], PortKey);
  form["upstreams"] = Keyed(form["upstreams"], UpstreamKey);
  return form;
}

// The keyed rows as a list: those of `order` first and in its order.
template <typename KeyOf>
json Unkeyed(json keyed, const json& order, KeyOf key_of) {
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

json MemberOrNull(const json& object, const std::string& key) {
  const auto it = object.find(key);
  return it == object.end() ? json() : *it;
}

json KeysOf(const json& first, const json& second) {
  json keys = first;
  keys.update(second);
  return keys;
}

std::string TextOf(const json& value) {
  return value.is_null() ? "" : value.dump();
}

void AddChanges(const json& before, const json& after, const std::string& place,
                std::vector<table_change>& changes) {
  if (before == after) return;
  if (!before.is_object() || !after.is_object()) {
    changes.push_back({place, TextOf(before), TextOf(after)});
    return;
  }
  const json keys = KeysOf(before, after);
  for (const auto& [key, ignored] : keys.items()) {
    AddChanges(MemberOrNull(before, key), MemberOrNull(after, key),
               JoinJsonPointer(place, key), changes);
  }
}

json MergeAt(const json& base, const json& mine, const json& theirs,
             const std::string& place, findings& conflicts) {
  if (mine == theirs || theirs == base) return mine;
  if (mine == base) return theirs;
  if (!mine.is_object() || !theirs.is_object()) {
    conflicts.Add(place, "was " + TextOf(base) + ", your edit makes it " +
                             TextOf(mine) + ", the store has " +
                             TextOf(theirs));
    return theirs;
  }
  const json origin = base.is_object() ? base : json::object();
  const json keys = KeysOf(mine, theirs);
  json merged = json::object();
  for (const auto& [key, ignored] : keys.items()) {
    json value = MergeAt(MemberOrNull(origin, key), MemberOrNull(mine, key),
                         MemberOrNull(theirs, key), JoinJsonPointer(place, key),
                         conflicts);
    if (!value.is_null()) merged[key] = std::move(value);
  }
  return merged;
}

}  // namespace

std::vector<table_change> DiffServices(const service& before,
                                       const service& after) {
  std::vector<table_change> changes;
  AddChanges(KeyedForm(before), KeyedForm(after), "", changes);
  return changes;
}

std::optional<service> MergeServices(const service& base, const service& mine,
                                     const service& theirs,
                                     findings& conflicts) {
  findings found;
  json merged =
      MergeAt(KeyedForm(base), KeyedForm(mine), KeyedForm(theirs), "", found);
  const json order = json::parse(ToJson(theirs));
  merged["ports"] = Unkeyed(merged["ports"], order["ports"], PortKey);
  merged["upstreams"] =
      Unkeyed(merged["upstreams"], order["upstreams"], UpstreamKey);
  std::optional<service> both;
  if (found.empty()) both = ParseService(merged.dump(), found);
  conflicts.Append(found);
  return both;
}

}  // namespace radishyard
