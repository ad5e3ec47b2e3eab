// Reads and writes rosters as JSON. Each reader notes what is wrong with its
// place and goes on, so that one report holds all findings.
#include "roster/roster_json.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace radishyard {
namespace {

using json = nlohmann::json;

json ToValue(const member_id& id) {
  return {{"name", id.name}, {"incarnation", id.incarnation}};
}

json ToValue(const member& m) {
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

json ToValue(const pool_assignment& p) {
  json successors = json::array();
  for (const member_id& id : p.successors) successors.push_back(ToValue(id));
  return {{"service", p.service},
          {"owner", ToValue(p.owner)},
          {"successors", std::move(successors)},
          {"previous", p.previous ? ToValue(*p.previous) : json()},
          {"since_epoch", p.since_epoch},
          {"successors_epoch", p.successors_epoch},
          {"released", p.released}};
}

const json& NullValue() {
  static const json null;
  return null;
}

// One JSON value with its place, and where to report what is wrong with it.
class reader {
 public:
  reader(const json& value, std::string place, findings& found)
      : value_(value), place_(std::move(place)), found_(found) {}

  // The member `key`; null where the value is no object or has none.
  reader At(const std::string& key) const {
    const bool present = value_.is_object() && value_.contains(key);
    return {present ? value_.at(key) : NullValue(), place_ + "/" + key, found_};
  }
  bool IsNull() const { return value_.is_null(); }

  std::string Text() const {
    if (value_.is_string() && !value_.get_ref<const std::string&>().empty()) {
      return value_.get<std::string>();
    }
    return Fault<std::string>("must be a text that is not empty");
  }
  template <typename Number>
  Number Unsigned(uint64_t least = 0) const {
    const uint64_t most = std::numeric_limits<Number>::max();
    if (value_.is_number_unsigned()) {
      const auto n = value_.get<uint64_t>();
      if (n >= least && n <= most) return static_cast<Number>(n);
    }
    return Fault<Number>("must be a whole number from " +
                         std::to_string(least) + " to " + std::to_string(most));
  }
  bool Flag(bool otherwise) const {
    if (value_.is_null()) return otherwise;
    if (value_.is_boolean()) return value_.get<bool>();
    return Fault<bool>("must be true or false");
  }
  endpoint Endpoint() const {
    const std::string text = Text();
    const size_t colon = text.find(':');
    endpoint e;
    if (colon == std::string::npos ||
        !ParseAddress(text.substr(0, colon), e.address) ||
        !ParsePort(text.substr(colon + 1), e.port)) {
      return Fault<endpoint>("must be address:port");
    }
    return e;
  }
  // Calls `read` with a reader of each element.
  template <typename Function>
  void ForEach(Function read) const {
    if (!value_.is_array()) {
      Fault<int>("must be a list");
      return;
    }
    for (size_t i = 0; i < value_.size(); ++i) {
      read(reader(value_[i], place_ + "/" + std::to_string(i), found_));
    }
  }
  template <typename Value>
  Value Fault(std::string reason) const {
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

member_id ReadId(const reader& in) {
  return {in.At("name").Text(), in.At("incarnation").Unsigned<uint64_t>()};
}

member ReadMember(const reader& in) {
  member m;
  m.id = ReadId(in);
  m.domain = in.At("domain").Text();
  m.size = in.At("size").Unsigned<uint32_t>(1);
  m.data = in.At("data").Endpoint();
  m.data_threads = in.At("threads").Unsigned<uint16_t>(1);
  m.control = in.At("control").Endpoint();
  m.admin = in.At("admin").Endpoint();
  m.leaving = in.At("leaving").Flag(false);
  return m;
}

pool_assignment ReadPool(const reader& in) {
  pool_assignment p;
  p.service = in.At("service").Text();
  p.owner = ReadId(in.At("owner"));
  in.At("successors").ForEach([&](const reader& entry) {
    p.successors.push_back(ReadId(entry));
  });
  const reader previous = in.At("previous");
  if (!previous.IsNull()) p.previous = ReadId(previous);
  p.since_epoch = in.At("since_epoch").Unsigned<uint64_t>();
  p.successors_epoch = in.At("successors_epoch").Unsigned<uint64_t>();
  p.released = in.At("released").Flag(false);
  return p;
}

roster ReadRoster(const reader& in) {
  roster r;
  r.domain = in.At("domain").Text();
  r.epoch = in.At("epoch").Unsigned<uint64_t>();
  std::set<std::string> names;
  in.At("members").ForEach([&](const reader& entry) {
    r.members.push_back(ReadMember(entry));
    if (!names.insert(r.members.back().id.name).second) {
      entry.At("name").Fault<int>("is listed twice");
    }
  });
  std::set<std::string> services;
  in.At("pools").ForEach([&](const reader& entry) {
    r.pools.push_back(ReadPool(entry));
    if (!services.insert(r.pools.back().service).second) {
      entry.At("service").Fault<int>("is assigned twice");
    }
  });
  return r;
}

}  // namespace

std::string ToJson(const roster& r) {
  json members = json::array();
  for (const member& m : r.members) members.push_back(ToValue(m));
  json pools = json::array();
  for (const pool_assignment& p : r.pools) pools.push_back(ToValue(p));
  const json value = {{"domain", r.domain},
                      {"epoch", r.epoch},
                      {"members", std::move(members)},
                      {"pools", std::move(pools)}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<roster> ParseRoster(std::string_view text, findings& found) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    found.Add("", "is no JSON object");
    return std::nullopt;
  }
  findings mine;
  roster r = ReadRoster(reader(value, "", mine));
  found.Append(mine);
  if (!mine.empty()) return std::nullopt;
  return r;
}

}  // namespace radishyard
