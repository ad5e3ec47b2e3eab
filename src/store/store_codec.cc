// Implements the codec with nlohmann::json. Malformed input throws no
// exceptions.
#include "store/store_codec.h"

#include <cctype>
#include <nlohmann/json.hpp>

#include "store/http_store.h"
#include "table/json_scan.h"

namespace radishyard::internal {
namespace {

using nlohmann::json;

constexpr std::string_view kUnescapedInUrl = "-._~/";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

/// Bounds of one response without a list of objects. An escaped character of a
/// value takes up to six bytes.
constexpr json_limits kResponseLimits{.max_bytes = 6 * kMaxValueBytes + 65'536,
                                      .max_depth = 4};

/// Parses a text with bounded nesting. \returns null if it is malformed.
json ParseText(const json_text& text) {
  return ParseBoundedJson(text, kResponseLimits).value_or(json());
}

json ParseDocument(std::string_view text) {
  return ParseText(ScanValue(text).value_or(json_text{}));
}

/// Sets `value` to the field `name` of `j`. Returns false if the field is
/// missing or has another type.
bool ReadField(const json& j, const char* name, std::string& value) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_string()) return false;
  value = it->get<std::string>();
  return true;
}

bool ReadField(const json& j, const char* name, uint64_t& value) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_number_unsigned()) return false;
  value = it->get<uint64_t>();
  return true;
}

bool ReadField(const json& j, const char* name, bool& value) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_boolean()) return false;
  value = it->get<bool>();
  return true;
}

std::optional<stored_object> ToObject(const json& j) {
  stored_object object;
  const bool is_complete = j.is_object() && ReadField(j, "key", object.key) &&
                           ReadField(j, "value", object.value) &&
                           ReadField(j, "version", object.version);
  if (!is_complete || object.value.size() > kMaxValueBytes) return std::nullopt;
  return object;
}

json ToJson(const stored_object& object) {
  return {{"key", object.key},
          {"value", object.value},
          {"version", object.version}};
}

/// Serializes `j`. Invalid UTF-8 is replaced, since it would make dump() throw.
std::string Serialize(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::optional<stored_object> ParseObject(std::string_view text) {
  return ToObject(ParseDocument(text));
}

std::optional<object_batch> ParseBatch(std::string_view text) {
  object_batch batch;
  bool has_revision = false;
  bool has_objects = false;
  const auto append = [&batch](const json_text& item) {
    if (auto object = ToObject(ParseText(item)))
      batch.objects.push_back(std::move(*object));
    else
      ++batch.rejected;
  };
  const bool is_object =
      VisitMembers(text, [&](std::string_view key, const json_text& value) {
        if (key == "objects") has_objects = VisitItems(value.text, append);
        if (key != "revision") return;
        const json revision = ParseText(value);
        has_revision = revision.is_number_unsigned();
        if (has_revision) batch.revision = revision.get<uint64_t>();
      });
  if (!is_object || !has_revision || !has_objects) return std::nullopt;
  return batch;
}

std::optional<uint64_t> ParseVersion(std::string_view text) {
  const json j = ParseDocument(text);
  uint64_t version = 0;
  if (!j.is_object() || !ReadField(j, "version", version)) return std::nullopt;
  return version;
}

std::optional<std::vector<vm_entry>> ParseVms(std::string_view text) {
  const json j = ParseDocument(text);
  if (!j.is_array()) return std::nullopt;
  std::vector<vm_entry> vms;
  for (const json& item : j) {
    vm_entry vm;
    const bool is_complete = item.is_object() &&
                             ReadField(item, "name", vm.name) &&
                             ReadField(item, "leaving", vm.leaving);
    if (!is_complete) return std::nullopt;
    vms.push_back(std::move(vm));
  }
  return vms;
}

std::string FormatObject(const stored_object& object) {
  return Serialize(ToJson(object));
}

std::string FormatBatch(const object_batch& batch) {
  json objects = json::array();
  for (const stored_object& object : batch.objects)
    objects.push_back(ToJson(object));
  return Serialize(
      {{"revision", batch.revision}, {"objects", std::move(objects)}});
}

std::string FormatVersion(uint64_t version) {
  return Serialize({{"version", version}});
}

std::string FormatVms(const std::vector<vm_entry>& vms) {
  json list = json::array();
  for (const vm_entry& vm : vms)
    list.push_back({{"name", vm.name}, {"leaving", vm.leaving}});
  return Serialize(list);
}

std::string EncodeUrl(std::string_view text) {
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 ||
        kUnescapedInUrl.find(c) != std::string_view::npos) {
      encoded += static_cast<char>(c);
    } else {
      encoded += {'%', kHexDigits[c >> 4], kHexDigits[c & 15]};
    }
  }
  return encoded;
}

}  // namespace radishyard::internal
