// Reads and writes rosters as JSON. Each read function reports an invalid value
// and continues with a default, so that one parse reports all findings.
#include "roster/roster_json.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "table/json_scan.h"

namespace radishyard {
namespace {

using json = nlohmann::json;

json ToJsonValue(const member_id& id) {
  return {{"name", id.name}, {"incarnation", id.incarnation}};
}

json ToJsonValue(const member& m) {
  return {{"name", m.id.name},
          {"incarnation", m.id.incarnation},
          {"domain", m.domain},
          {"size", m.size},
          {"data", ToString(m.data)},
          {"threads", m.data_threads},
          {"control", ToString(m.control)},
          {"admin", ToString(m.admin)},
          {"leaving", m.leaving}};
}

json ToJsonValue(const pool_assignment& p) {
  json successors = json::array();
  for (const member_id& id : p.successors)
    successors.push_back(ToJsonValue(id));
  return {
      {"service", p.service},
      {"owner", ToJsonValue(p.owner)},
      {"successors", std::move(successors)},
      {"previous", p.previous_owner ? ToJsonValue(*p.previous_owner) : json()},
      {"since_epoch", p.since_epoch},
      {"successors_epoch", p.successors_epoch},
      {"released", p.released}};
}

const json& NullValue() {
  static const json null;
  return null;
}

// Reads one JSON value. It reports what is wrong with the value as a finding at
// its place in the document, and returns a default instead.
class json_reader {
 public:
  json_reader(const json& value, std::string place, findings& found)
      : value_(value), place_(std::move(place)), found_(found) {}

  // The member `key`; null if the value is not an object or has no such member.
  json_reader At(const std::string& key) const {
    const bool present = value_.is_object() && value_.contains(key);
    return {present ? value_.at(key) : NullValue(), place_ + "/" + key, found_};
  }
  bool IsNull() const { return value_.is_null(); }

  std::string ReadString() const {
    if (value_.is_string() && !value_.get_ref<const std::string&>().empty()) {
      return value_.get<std::string>();
    }
    return AddFinding<std::string>("must be a non-empty string");
  }
  template <typename Number>
  Number ReadUnsigned(uint64_t min_value = 0) const {
    const uint64_t max_value = std::numeric_limits<Number>::max();
    if (value_.is_number_unsigned()) {
      const auto n = value_.get<uint64_t>();
      if (n >= min_value && n <= max_value) return static_cast<Number>(n);
    }
    return AddFinding<Number>("must be an integer from " +
                              std::to_string(min_value) + " to " +
                              std::to_string(max_value));
  }
  bool ReadBool(bool default_value) const {
    if (value_.is_null()) return default_value;
    if (value_.is_boolean()) return value_.get<bool>();
    return AddFinding<bool>("must be true or false");
  }
  endpoint ReadEndpoint() const {
    const std::string text = ReadString();
    const size_t colon = text.find(':');
    endpoint e;
    if (colon == std::string::npos ||
        !ParseAddress(text.substr(0, colon), e.address) ||
        !ParsePort(text.substr(colon + 1), e.port)) {
      return AddFinding<endpoint>("must be address:port");
    }
    return e;
  }
  // Calls `read` with a json_reader for each element of an array.
  template <typename Function>
  void ForEach(Function read) const {
    if (!value_.is_array()) {
      AddFinding<int>("must be an array");
      return;
    }
    for (size_t i = 0; i < value_.size(); ++i) {
      read(json_reader(value_[i], place_ + "/" + std::to_string(i), found_));
    }
  }
  template <typename Value>
  Value AddFinding(std::string reason) const {
    found_.Add(place_, std::move(reason));
    return Value{};
  }

 private:
  static bool ParsePort(const std::string& text, uint16_t& port) {
    if (text.empty() || text.size() > 5) return false;
    uint32_t n = 0;
    for (const char c : text) {
      if (c < '0' || c > '9') return false;
      n = n * 10 + static_cast<uint32_t>(c - '0');
    }
    port = static_cast<uint16_t>(n);
    return n <= std::numeric_limits<uint16_t>::max();
  }

  const json& value_;
  std::string place_;
  findings& found_;
};

member_id ReadMemberId(const json_reader& in) {
  return {in.At("name").ReadString(),
          in.At("incarnation").ReadUnsigned<uint64_t>()};
}

member ReadMember(const json_reader& in) {
  member m;
  m.id = ReadMemberId(in);
  m.domain = in.At("domain").ReadString();
  m.size = in.At("size").ReadUnsigned<uint32_t>(1);
  m.data = in.At("data").ReadEndpoint();
  m.data_threads = in.At("threads").ReadUnsigned<uint16_t>(1);
  m.control = in.At("control").ReadEndpoint();
  m.admin = in.At("admin").ReadEndpoint();
  m.leaving = in.At("leaving").ReadBool(false);
  return m;
}

pool_assignment ReadPool(const json_reader& in) {
  pool_assignment p;
  p.service = in.At("service").ReadString();
  p.owner = ReadMemberId(in.At("owner"));
  in.At("successors").ForEach([&](const json_reader& entry) {
    p.successors.push_back(ReadMemberId(entry));
  });
  const json_reader previous_owner = in.At("previous");
  if (!previous_owner.IsNull()) p.previous_owner = ReadMemberId(previous_owner);
  p.since_epoch = in.At("since_epoch").ReadUnsigned<uint64_t>();
  p.successors_epoch = in.At("successors_epoch").ReadUnsigned<uint64_t>();
  p.released = in.At("released").ReadBool(false);
  return p;
}

roster ReadRoster(const json_reader& in) {
  roster r;
  r.domain = in.At("domain").ReadString();
  r.epoch = in.At("epoch").ReadUnsigned<uint64_t>();
  std::set<std::string> names;
  in.At("members").ForEach([&](const json_reader& entry) {
    r.members.push_back(ReadMember(entry));
    if (!names.insert(r.members.back().id.name).second) {
      entry.At("name").AddFinding<int>("is a duplicate member name");
    }
  });
  std::set<std::string> services;
  in.At("pools").ForEach([&](const json_reader& entry) {
    r.pools.push_back(ReadPool(entry));
    if (!services.insert(r.pools.back().service).second) {
      entry.At("service").AddFinding<int>("is a duplicate service name");
    }
  });
  return r;
}

}  // namespace

std::string ToJson(const roster& r) {
  json members = json::array();
  for (const member& m : r.members) members.push_back(ToJsonValue(m));
  json pools = json::array();
  for (const pool_assignment& p : r.pools) pools.push_back(ToJsonValue(p));
  const json value = {{"domain", r.domain},
                      {"epoch", r.epoch},
                      {"members", std::move(members)},
                      {"pools", std::move(pools)}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<roster> ParseRoster(std::string_view text, findings& found) {
  constexpr internal::json_limits kLimits{.max_bytes = 1U << 20,
                                          .max_depth = 8};
  const auto extent = internal::ScanValue(text);
  const auto value =
      extent ? internal::ParseBoundedJson(*extent, kLimits) : std::nullopt;
  if (!value || !value->is_object()) {
    found.Add("", "is not a JSON object of bounded size and depth");
    return std::nullopt;
  }
  findings roster_findings;
  roster r = ReadRoster(json_reader(*value, "", roster_findings));
  found.Append(roster_findings);
  if (!roster_findings.empty()) return std::nullopt;
  return r;
}

}  // namespace radishyard
