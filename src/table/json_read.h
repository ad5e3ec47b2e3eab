// Reads fields of JSON objects. A field that is missing or has the wrong type
// leaves the default value unchanged and is not reported here, since the check
// against the schema reports it.
#pragma once
#include <array>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "base/finding.h"

namespace radishyard::internal {

/// \brief The value of `key` in `object`, or null if there is none.
inline const nlohmann::json& GetField(const nlohmann::json& object,
                                      const char* key) {
  static const nlohmann::json null;
  if (!object.is_object()) return null;
  const auto it = object.find(key);
  return it == object.end() ? null : *it;
}

inline void ReadField(const nlohmann::json& object, const char* key,
                      std::string& value) {
  const nlohmann::json& member = GetField(object, key);
  if (member.is_string()) value = member.get<std::string>();
}

inline void ReadField(const nlohmann::json& object, const char* key,
                      bool& value) {
  const nlohmann::json& member = GetField(object, key);
  if (member.is_boolean()) value = member.get<bool>();
}

template <typename T>
requires std::is_unsigned_v<T>
void ReadField(const nlohmann::json& object, const char* key, T& value) {
  const nlohmann::json& member = GetField(object, key);
  if (!member.is_number_unsigned()) return;
  const auto number = member.get<uint64_t>();
  if (number <= std::numeric_limits<T>::max()) value = static_cast<T>(number);
}

/// \brief The names of the values of an enumeration.
template <typename Enum, size_t kSize>
using enum_names = std::array<std::pair<std::string_view, Enum>, kSize>;

template <typename Enum, size_t kSize>
void ReadField(const nlohmann::json& object, const char* key,
               const enum_names<Enum, kSize>& names, Enum& value) {
  std::string text;
  ReadField(object, key, text);
  for (const auto& [name, each] : names) {
    if (name == text) value = each;
  }
}

template <typename Enum, size_t kSize>
std::string ToName(const enum_names<Enum, kSize>& names, Enum value) {
  for (const auto& [name, each] : names) {
    if (each == value) return std::string(name);
  }
  return "";
}

/// \brief The schema of a string that is one of `names`.
template <typename Enum, size_t kSize>
nlohmann::json MakeEnumSchema(const enum_names<Enum, kSize>& names) {
  nlohmann::json values = nlohmann::json::array();
  for (const auto& [name, each] : names) values.push_back(name);
  return {{"type", "string"}, {"enum", values}};
}

/// \brief Reads an IPv4 address, and reports a text that is not the unicast
/// address of a host.
/// \param place JSON pointer of `object`.
void ReadAddress(const nlohmann::json& object, const char* key,
                 const std::string& place, uint32_t& address, findings& found);

/// \brief Returns true for a text of 1 to 63 characters of a-z, 0-9, '-', '_'
/// and '.' that starts with a letter or digit.
bool IsValidName(std::string_view text);

/// \brief Reads a name, and reports one that is not valid.
/// \param place JSON pointer of `object`.
/// \sa IsValidName
void ReadName(const nlohmann::json& object, const char* key,
              const std::string& place, std::string& name, findings& found);

}  // namespace radishyard::internal
