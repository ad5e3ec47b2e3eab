// Reads the settings of the daemon: the schema, the fields and the checks
// across fields.
#include "settings/settings.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "lease/lease_times.h"
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
using nlohmann::json;

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxSize = 1000;
constexpr int64_t kMaxThreads = 64;
constexpr int64_t kMaxLimitMs = 60'000;
constexpr int64_t kMaxHeldFlows = 20'000'000;
constexpr int64_t kMaxSampleOneIn = 1'000'000'000;
constexpr size_t kMaxListItems = 256;

constexpr enum_names<log_level, 5> kLevels{{{"trace", log_level::kTrace},
                                            {"debug", log_level::kDebug},
                                            {"info", log_level::kInfo},
                                            {"warn", log_level::kWarn},
                                            {"error", log_level::kError}}};

json MakeStringSchema() { return {{"type", "string"}}; }

json MakeStringListSchema() {
  return {{"type", "array"},
          {"items", MakeStringSchema()},
          {"maxItems", kMaxListItems}};
}

json MakeListenerSchema(bool with_threads) {
  json properties{{"address", MakeStringSchema()},
                  {"port", MakeIntegerSchema(1, kMaxPort)}};
  if (with_threads) properties["threads"] = MakeIntegerSchema(1, kMaxThreads);
  return MakeObjectSchema(properties, {"address", "port"});
}

json MakeLimitsSchema() {
  const json milliseconds_schema = MakeIntegerSchema(1, kMaxLimitMs);
  return MakeObjectSchema({{"heartbeat_ms", milliseconds_schema},
                           {"lease_ms", milliseconds_schema},
                           {"takeover_ms", milliseconds_schema},
                           {"held_flows", MakeIntegerSchema(1, kMaxHeldFlows)}},
                          json::array());
}

json MakeSettingsSchema() {
  const json log = MakeObjectSchema(
      {{"level", MakeEnumSchema(kLevels)}, {"file", MakeStringSchema()}},
      json::array());
  const json trace = MakeObjectSchema(
      {{"sample_one_in", MakeIntegerSchema(0, kMaxSampleOneIn)},
       {"file", MakeStringSchema()}},
      json::array());
  return MakeObjectSchema(
      {{"name", MakeStringSchema()},
       {"domain", MakeStringSchema()},
       {"size", MakeIntegerSchema(1, kMaxSize)},
       {"data", MakeListenerSchema(true)},
       {"control", MakeListenerSchema(false)},
       {"admin", MakeListenerSchema(false)},
       {"fabric", MakeStringListSchema()},
       {"platform", MakeStringSchema()},
       {"peers", MakeStringListSchema()},
       {"domains", MakeStringListSchema()},
       {"log", log},
       {"trace", trace},
       {"limits", MakeLimitsSchema()}},
      {"name", "domain", "data", "control", "admin", "fabric", "platform"});
}

endpoint ReadListener(const json& document, const char* key, findings& found) {
  const json& section = GetField(document, key);
  endpoint e;
  ReadAddress(section, "address", JoinJsonPointer("", key), e.address, found);
  ReadField(section, "port", e.port);
  return e;
}

endpoint ReadEndpoint(const json& text, const std::string& place,
                      findings& found) {
  if (!text.is_string()) return {};
  const std::optional<endpoint> e = ParseEndpoint(text.get<std::string>());
  if (!e) found.Add(place, "is not an ADDRESS:PORT");
  return e.value_or(endpoint{});
}

std::vector<endpoint> ReadEndpoints(const json& document, const char* key,
                                    findings& found) {
  const json& list = GetField(document, key);
  std::vector<endpoint> out;
  if (!list.is_array()) return out;
  for (const json& text : list) {
    const std::string place =
        JoinJsonPointer(JoinJsonPointer("", key), out.size());
    out.push_back(ReadEndpoint(text, place, found));
  }
  return out;
}

std::vector<std::string> ReadDomains(const json& document, findings& found) {
  std::vector<std::string> domains;
  std::set<std::string> seen;
  const json& list = GetField(document, "domains");
  if (!list.is_array()) return domains;
  for (const json& text : list) {
    const std::string name = text.is_string() ? text.get<std::string>() : "";
    const std::string place = JoinJsonPointer("/domains", domains.size());
    if (text.is_string() && !internal::IsValidName(name))
      found.Add(place, "is not a valid name of a failure domain");
    if (text.is_string() && !seen.insert(name).second)
      found.Add(place, "is listed twice");
    domains.push_back(name);
  }
  return domains;
}

void ReadMs(const json& section, const char* key, duration& value) {
  auto ms = static_cast<uint32_t>(ToMs(value));
  ReadField(section, key, ms);
  value = milliseconds(ms);
}

limit_settings ReadLimits(const json& section) {
  limit_settings limits;
  ReadMs(section, "heartbeat_ms", limits.heartbeat_interval);
  ReadMs(section, "lease_ms", limits.lease);
  ReadMs(section, "takeover_ms", limits.takeover_wait);
  ReadField(section, "held_flows", limits.held_flows);
  return limits;
}

settings ReadSettings(const json& document, findings& found) {
  settings s;
  ReadName(document, "name", "", s.name, found);
  ReadName(document, "domain", "", s.domain, found);
  ReadField(document, "size", s.size);
  s.data = ReadListener(document, "data", found);
  ReadField(GetField(document, "data"), "threads", s.data_threads);
  s.control = ReadListener(document, "control", found);
  s.admin = ReadListener(document, "admin", found);
  s.fabric = ReadEndpoints(document, "fabric", found);
  s.platform = ReadEndpoint(GetField(document, "platform"), "/platform", found);
  s.peers = ReadEndpoints(document, "peers", found);
  s.domains = ReadDomains(document, found);
  const json& log = GetField(document, "log");
  ReadField(log, "level", kLevels, s.log.level);
  ReadField(log, "file", s.log.file);
  const json& trace = GetField(document, "trace");
  ReadField(trace, "sample_one_in", s.trace.sample_one_in);
  ReadField(trace, "file", s.trace.file);
  s.limits = ReadLimits(GetField(document, "limits"));
  return s;
}

void CheckTimes(const limit_settings& limits, findings& found) {
  if (limits.heartbeat_interval >= limits.lease)
    found.Add("/limits/heartbeat_ms", "is not below lease_ms");
  if (!LeaseEndsBeforeTakeover(
          {.lease = limits.lease, .takeover_wait = limits.takeover_wait})) {
    found.Add("/limits/lease_ms",
              "is too long for takeover_ms, which must exceed it by the clock "
              "margin and the packet lifetime");
  }
}

void CheckEndpoints(const settings& s, const json& document, findings& found) {
  if (s.data.port + s.data_threads - 1 > kMaxPort)
    found.Add("/data/threads", "needs ports above 65535");
  if (s.control.port != 0 && s.control == s.admin)
    found.Add("/admin", "is the same address and port as /control");
  const json& fabric = GetField(document, "fabric");
  if (fabric.is_array() && fabric.empty()) found.Add("/fabric", "is empty");
}

void CheckDomain(const settings& s, findings& found) {
  if (s.domains.empty() || s.domain.empty()) return;
  for (const std::string& name : s.domains) {
    if (name == s.domain) return;
  }
  found.Add("/domain", "is not among /domains");
}

}  // namespace

std::optional<settings> ParseSettings(std::string_view text, findings& found) {
  static const internal::json_schema schema{MakeSettingsSchema()};
  findings own_findings;
  const std::optional<json> document = internal::ParseJson(text, own_findings);
  settings s;
  if (document) {
    schema.Check(*document, own_findings);
    s = ReadSettings(*document, own_findings);
    CheckTimes(s.limits, own_findings);
    CheckEndpoints(s, *document, own_findings);
    CheckDomain(s, own_findings);
  }
  found.Append(own_findings);
  if (!own_findings.empty()) return std::nullopt;
  return s;
}

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  endpoint e;
  if (!ParseAddress(std::string(text.substr(0, colon)), e.address))
    return std::nullopt;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, e.port);
  if (error != std::errc() || stop != end || e.port == 0) return std::nullopt;
  return e;
}

}  // namespace radishyard
