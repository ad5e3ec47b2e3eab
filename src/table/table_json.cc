// Reads and writes services: the schema, the fields and the checks within one
// service.
#include "table/table_json.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "table/json_check.h"
#include "table/json_read.h"

namespace radishyard {
namespace {

using internal::enum_names;
using internal::GetField;
using internal::JoinJsonPointer;
using internal::MakeEnumSchema;
using internal::MakeIntegerSchema;
using internal::MakeObjectSchema;
using internal::ReadAddress;
using internal::ReadField;
using internal::ReadName;
using internal::ToName;
using nlohmann::json;

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxSlots = 100'000;
constexpr int64_t kMaxConnections = 1'000'000;
constexpr int64_t kMaxIdleTimeoutSeconds = 86'400;
constexpr size_t kMaxPorts = 64;
constexpr size_t kMaxUpstreams = 1024;
constexpr int64_t kMaxVersion = int64_t{1} << 53;
constexpr size_t kMaxEditIdBytes = 64;

constexpr enum_names<protocol, 2> kProtocols{
    {{"tcp", protocol::kTcp}, {"udp", protocol::kUdp}}};
constexpr enum_names<port_kind, 2> kKinds{
    {{"feed", port_kind::kFeed}, {"request", port_kind::kRequest}}};
constexpr enum_names<priority_class, 3> kPriorities{
    {{"urgent", priority_class::kUrgent},
     {"normal", priority_class::kNormal},
     {"bulk", priority_class::kBulk}}};
constexpr enum_names<upstream_state, 3> kStates{
    {{"active", upstream_state::kActive},
     {"joining", upstream_state::kJoining},
     {"leaving", upstream_state::kLeaving}}};

json MakeStringSchema() { return {{"type", "string"}}; }

json MakePortSchema() {
  return MakeObjectSchema(
      {{"port", MakeIntegerSchema(1, kMaxPort)},
       {"upstream_port", MakeIntegerSchema(1, kMaxPort)},
       {"protocol", MakeEnumSchema(kProtocols)},
       {"kind", MakeEnumSchema(kKinds)},
       {"priority", MakeEnumSchema(kPriorities)},
       {"idempotent", {{"type", "boolean"}}},
       {"idle_timeout_s", MakeIntegerSchema(1, kMaxIdleTimeoutSeconds)}},
      {"port", "protocol", "kind"});
}

json MakeUpstreamSchema() {
  return MakeObjectSchema(
      {{"name", MakeStringSchema()},
       {"address", MakeStringSchema()},
       {"domain", MakeStringSchema()},
       {"weight", MakeIntegerSchema(0, kMaxWeight)},
       {"slots", MakeIntegerSchema(1, kMaxSlots)},
       {"connections", MakeIntegerSchema(1, kMaxConnections)},
       {"state", MakeEnumSchema(kStates)}},
      {"name", "address", "domain", "weight", "slots", "connections"});
}

json MakeArraySchema(const json& items, size_t max_items) {
  return {{"type", "array"}, {"items", items}, {"maxItems", max_items}};
}

json MakeServiceSchema() {
  return MakeObjectSchema(
      {{"service", MakeStringSchema()},
       {"address", MakeStringSchema()},
       {"ports", MakeArraySchema(MakePortSchema(), kMaxPorts)},
       {"upstreams", MakeArraySchema(MakeUpstreamSchema(), kMaxUpstreams)},
       {"deleted", {{"type", "boolean"}}}},
      {"service", "address", "ports", "upstreams"});
}

json MakeEditIdSchema() {
  return {{"type", "string"}, {"minLength", 1}, {"maxLength", kMaxEditIdBytes}};
}

json MakePastEditSchema() {
  return MakeObjectSchema({{"id", MakeEditIdSchema()},
                           {"version", MakeIntegerSchema(1, kMaxVersion)}},
                          {"id", "version"});
}

json MakeRecordSchema() {
  json schema = MakeServiceSchema();
  schema["properties"]["edit_id"] = MakeEditIdSchema();
  schema["properties"]["earlier_edits"] =
      MakeArraySchema(MakePastEditSchema(), kMaxEarlierEdits);
  schema["required"].push_back("edit_id");
  return schema;
}

json MakeFileSchema() {
  json schema = MakeServiceSchema();
  schema["properties"]["version"] = MakeIntegerSchema(0, kMaxVersion);
  return schema;
}

service_port ReadPort(const json& row) {
  service_port p;
  ReadField(row, "port", p.port);
  p.upstream_port = p.port;
  ReadField(row, "upstream_port", p.upstream_port);
  ReadField(row, "protocol", kProtocols, p.proto);
  ReadField(row, "kind", kKinds, p.kind);
  ReadField(row, "priority", kPriorities, p.priority);
  ReadField(row, "idempotent", p.idempotent);
  ReadField(row, "idle_timeout_s", p.idle_timeout_s);
  return p;
}

upstream ReadUpstream(const json& row, const std::string& place,
                      findings& found) {
  upstream u;
  u.weight = 1;  // A weight that can't be read must not count as 0.
  ReadName(row, "name", place, u.name, found);
  ReadAddress(row, "address", place, u.address, found);
  ReadName(row, "domain", place, u.domain, found);
  ReadField(row, "weight", u.weight);
  ReadField(row, "slots", u.slots);
  ReadField(row, "connections", u.connections);
  ReadField(row, "state", kStates, u.state);
  return u;
}

// Reads every field that can be read. A row that can't be read stays in its
// list, so that the indexes of the rows match the document.
service ReadService(const json& document, findings& found) {
  service s;
  ReadName(document, "service", "", s.name, found);
  ReadAddress(document, "address", "", s.address, found);
  const json& ports = GetField(document, "ports");
  if (ports.is_array() && ports.size() <= kMaxPorts) {
    for (const json& row : ports) s.ports.push_back(ReadPort(row));
  }
  const json& upstreams = GetField(document, "upstreams");
  if (upstreams.is_array() && upstreams.size() <= kMaxUpstreams) {
    for (const json& row : upstreams) {
      const std::string place =
          JoinJsonPointer("/upstreams", s.upstreams.size());
      s.upstreams.push_back(ReadUpstream(row, place, found));
    }
  }
  ReadField(document, "deleted", s.deleted);
  return s;
}

// Reports each key that has occurred before, with the place of its first
// occurrence.
template <typename Key>
class duplicate_check {
 public:
  void Check(const Key& key, const std::string& place, const char* reason,
             findings& found) {
    const auto [it, is_new] = first_places_.try_emplace(key, place);
    if (!is_new) found.Add(place, reason + it->second);
  }

 private:
  std::map<Key, std::string> first_places_;
};

void CheckPorts(const service& s, const json& document, findings& found) {
  duplicate_check<std::pair<protocol, uint16_t>> ports;
  duplicate_check<std::pair<protocol, uint16_t>> upstream_ports;
  for (size_t i = 0; i < s.ports.size(); ++i) {
    const service_port& p = s.ports[i];
    const std::string place = JoinJsonPointer("/ports", i);
    const json& row = document["ports"][i];
    if (p.port == 0 || !GetField(row, "protocol").is_string()) continue;
    ports.Check({p.proto, p.port}, place + "/port",
                "has the protocol and port of ", found);
    const bool is_given = GetField(row, "upstream_port").is_number();
    upstream_ports.Check({p.proto, p.upstream_port},
                         place + (is_given ? "/upstream_port" : "/port"),
                         "has the same upstream port as ", found);
  }
}

void CheckUpstreams(const service& s, findings& found) {
  duplicate_check<std::string> names;
  duplicate_check<uint32_t> addresses;
  for (size_t i = 0; i < s.upstreams.size(); ++i) {
    const upstream& u = s.upstreams[i];
    const std::string place = JoinJsonPointer("/upstreams", i);
    if (!u.name.empty())
      names.Check(u.name, place + "/name", "has the name of ", found);
    if (u.address == 0) continue;
    addresses.Check(u.address, place + "/address", "has the address of ",
                    found);
    if (u.address == s.address)
      found.Add(place + "/address", "is the address of the service itself");
  }
}

// A deleted service may have no ports, no upstreams or no weight.
void CheckUsable(const service& s, const json& document, findings& found) {
  if (s.deleted) return;
  const json& ports = GetField(document, "ports");
  const json& upstreams = GetField(document, "upstreams");
  if (ports.is_array() && ports.empty()) found.Add("/ports", "is empty");
  if (!upstreams.is_array()) return;
  if (upstreams.empty()) found.Add("/upstreams", "is empty");
  uint64_t weight = 0;
  for (const upstream& u : s.upstreams) weight += u.weight;
  if (weight == 0 && !s.upstreams.empty())
    found.Add("/upstreams", "has a total weight of 0");
}

service ReadAndCheckService(const json& document,
                            const internal::json_schema& schema,
                            findings& found) {
  schema.Check(document, found);
  service s = ReadService(document, found);
  CheckPorts(s, document, found);
  CheckUpstreams(s, found);
  CheckUsable(s, document, found);
  return s;
}

std::vector<std::string> FindUpstreamsWithoutState(const json& document) {
  std::vector<std::string> names;
  const json& upstreams = GetField(document, "upstreams");
  if (!upstreams.is_array()) return names;
  for (const json& row : upstreams) {
    if (!GetField(row, "state").is_null()) continue;
    names.emplace_back();
    ReadField(row, "name", names.back());
  }
  return names;
}

json PortToJson(const service_port& p) {
  return {{"port", p.port},
          {"upstream_port", p.upstream_port},
          {"protocol", ToName(kProtocols, p.proto)},
          {"kind", ToName(kKinds, p.kind)},
          {"priority", ToName(kPriorities, p.priority)},
          {"idempotent", p.idempotent},
          {"idle_timeout_s", p.idle_timeout_s}};
}

json UpstreamToJson(const upstream& u) {
  return {{"name", u.name},
          {"address", ToDottedAddress(u.address)},
          {"domain", u.domain},
          {"weight", u.weight},
          {"slots", u.slots},
          {"connections", u.connections},
          {"state", ToName(kStates, u.state)}};
}

json ServiceToJson(const service& s) {
  json ports = json::array();
  for (const service_port& p : s.ports) ports.push_back(PortToJson(p));
  json upstreams = json::array();
  for (const upstream& u : s.upstreams) upstreams.push_back(UpstreamToJson(u));
  return {{"service", s.name},
          {"address", ToDottedAddress(s.address)},
          {"ports", std::move(ports)},
          {"upstreams", std::move(upstreams)},
          {"deleted", s.deleted}};
}

std::string Serialize(const json& value, int indent) {
  return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::optional<service> ParseService(std::string_view text, findings& found) {
  static const internal::json_schema schema{MakeServiceSchema()};
  findings own_findings;
  const std::optional<json> document = internal::ParseJson(text, own_findings);
  std::optional<service> s;
  if (document) s = ReadAndCheckService(*document, schema, own_findings);
  found.Append(own_findings);
  return own_findings.empty() ? s : std::nullopt;
}

std::optional<service_file> ParseServiceFile(std::string_view text,
                                             findings& found) {
  static const internal::json_schema schema{MakeFileSchema()};
  findings own_findings;
  const std::optional<json> document = internal::ParseJson(text, own_findings);
  service_file file;
  if (document) {
    file.value = ReadAndCheckService(*document, schema, own_findings);
    const json& version = GetField(*document, "version");
    if (version.is_number_unsigned()) file.version = version.get<uint64_t>();
    file.upstreams_without_state = FindUpstreamsWithoutState(*document);
  }
  found.Append(own_findings);
  if (!own_findings.empty()) return std::nullopt;
  return file;
}

service InheritUpstreamStates(const service_file& file, const service& stored) {
  std::map<std::string, upstream_state> states;
  for (const upstream& u : stored.upstreams) states[u.name] = u.state;
  service s = file.value;
  for (upstream& u : s.upstreams) {
    const auto& without_state = file.upstreams_without_state;
    const auto it = states.find(u.name);
    if (it == states.end()) continue;
    if (std::find(without_state.begin(), without_state.end(), u.name) !=
        without_state.end())
      u.state = it->second;
  }
  return s;
}

std::optional<service_record> ParseRecord(std::string_view text,
                                          uint64_t version, findings& found) {
  static const internal::json_schema schema{MakeRecordSchema()};
  findings own_findings;
  const std::optional<json> document = internal::ParseJson(text, own_findings);
  service_record record;
  record.version = version;
  if (document) {
    record.value = ReadAndCheckService(*document, schema, own_findings);
    ReadField(*document, "edit_id", record.edit_id);
  }
  found.Append(own_findings);
  if (!own_findings.empty()) return std::nullopt;
  return record;
}

std::vector<earlier_edit> ParseEarlierEdits(std::string_view text) {
  findings ignored;
  const std::optional<json> document = internal::ParseJson(text, ignored);
  std::vector<earlier_edit> edits;
  if (!document) return edits;
  const json& list = GetField(*document, "earlier_edits");
  if (!list.is_array()) return edits;
  for (const json& row : list) {
    earlier_edit edit;
    ReadField(row, "id", edit.id);
    ReadField(row, "version", edit.version);
    edits.push_back(std::move(edit));
  }
  return edits;
}

std::string ToJson(const service& s) { return Serialize(ServiceToJson(s), 2); }

std::string ToFileJson(const service_record& record) {
  json file = ServiceToJson(record.value);
  file["version"] = record.version;
  return Serialize(file, 2);
}

std::string ToRecordJson(const service& s, const std::string& edit_id,
                         const std::vector<earlier_edit>& earlier) {
  json record = ServiceToJson(s);
  record["edit_id"] = edit_id;
  json edits = json::array();
  for (const earlier_edit& edit : earlier) {
    if (edits.size() == kMaxEarlierEdits) break;
    edits.push_back({{"id", edit.id}, {"version", edit.version}});
  }
  record["earlier_edits"] = std::move(edits);
  return Serialize(record, -1);
}

std::string ToServiceKey(const std::string& name) {
  return std::string(kServiceKeyPrefix) + name;
}

}  // namespace radishyard
