// JSON of the store's objects by nlohmann::json, without exceptions on input.
#include "store/store_codec.h"

#include <cctype>
#include <nlohmann/json.hpp>

#include "store/http_store.h"

namespace radishyard::internal {
namespace {

using nlohmann::json;

constexpr std::string_view kPlainInUrl = "-._~/";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

json Parse(std::string_view text) {
  return json::parse(text.begin(), text.end(), nullptr, false);
}

/// Sets `value` from member `name` of `j`; false if it is missing or of
/// another type.
bool Read(const json& j, const char* name, std::string& value) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_string()) return false;
  value = it->get<std::string>();
  return true;
}

bool Read(const json& j, const char* name, uint64_t& value) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_number_unsigned()) return false;
  value = it->get<uint64_t>();
  return true;
}

bool Read(const json& j, const char* name, bool& value) {
  const auto it = j.find(name);
  if (it == j.end() || !it->is_boolean()) return false;
  value = it->get<bool>();
  return true;
}

std::optional<stored_object> ToObject(const json& j) {
  stored_object object;
  const bool whole = j.is_object() && Read(j, "key", object.key) &&
                     Read(j, "value", object.value) &&
                     Read(j, "version", object.version);
  if (!whole || object.value.size() > kMaxValueBytes) return std::nullopt;
  return object;
}

json ToJson(const stored_object& object) {
  return {{"key", object.key},
          {"value", object.value},
          {"version", object.version}};
}

/// Text of `j`; bytes that are not UTF-8 are replaced rather than thrown at.
std::string Dump(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::optional<stored_object> ParseObject(std::string_view text) {
  return ToObject(Parse(text));
}

std::optional<object_batch> ParseBatch(std::string_view text) {
  const json j = Parse(text);
  object_batch batch;
  if (!j.is_object() || !Read(j, "revision", batch.revision))
    return std::nullopt;
  const auto objects = j.find("objects");
  if (objects == j.end() || !objects->is_array()) return std::nullopt;
  for (const json& item : *objects) {
    std::optional<stored_object> object = ToObject(item);
    if (!object) return std::nullopt;
    batch.objects.push_back(std::move(*object));
  }
  return batch;
}

std::optional<uint64_t> ParseVersion(std::string_view text) {
  const json j = Parse(text);
  uint64_t version = 0;
  if (!j.is_object() || !Read(j, "version", version)) return std::nullopt;
  return version;
}

std::optional<std::vector<vm_entry>> ParseVms(std::string_view text) {
  const json j = Parse(text);
  if (!j.is_array()) return std::nullopt;
  std::vector<vm_entry> vms;
  for (const json& item : j) {
    vm_entry vm;
    const bool whole = item.is_object() && Read(item, "name", vm.name) &&
                       Read(item, "leaving", vm.leaving);
    if (!whole) return std::nullopt;
    vms.push_back(std::move(vm));
  }
  return vms;
}

std::string FormatObject(const stored_object& object) {
  return Dump(ToJson(object));
}

std::string FormatBatch(const object_batch& batch) {
  json objects = json::array();
  for (const stored_object& object : batch.objects)
    objects.push_back(ToJson(object));
  return Dump({{"revision", batch.revision}, {"objects", std::move(objects)}});
}

std::string FormatVersion(uint64_t version) {
  return Dump({{"version", version}});
}

std::string FormatVms(const std::vector<vm_entry>& vms) {
  json list = json::array();
  for (const vm_entry& vm : vms)
    list.push_back({{"name", vm.name}, {"leaving", vm.leaving}});
  return Dump(list);
}

std::string EncodeUrl(std::string_view text) {
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || kPlainInUrl.find(c) != std::string_view::npos) {
      encoded += static_cast<char>(c);
    } else {
      encoded += {'%', kHexDigits[c >> 4], kHexDigits[c & 15]};
    }
  }
  return encoded;
}

}  // namespace radishyard::internal
