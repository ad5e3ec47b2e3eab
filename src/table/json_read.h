// Tolerant reading of JSON members: a member that is absent or of the wrong
// type leaves the default, for the schema check reports it.
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

/// \brief The member of that key, or null where there is none.
inline const nlohmann::json& GetField(const nlohmann::json& object,
                                      const char* key) {
  static const nlohmann::json null;
  if (!object.is_object()) return null;
  const auto it = object.find(key);
  return it == object.end() ? null : *it;
}

inline void Read(const nlohmann::json& object, const char* key,
                 std::string& value) {
  const nlohmann::json& member = GetField(object, key);
  if (member.is_string()) value = member.get<std::string>();
}

inline void Read(const nlohmann::json& object, const char* key, bool& value) {
  const nlohmann::json& member = GetField(object, key);
  if (member.is_boolean()) value = member.get<bool>();
}

template <typename T>
requires std::is_unsigned_v<T>
void Read(const nlohmann::json& object, const char* key, T& value) {
  const nlohmann::json& member = GetField(object, key);
  if (!member.is_number_unsigned()) return;
  const auto number = member.get<uint64_t>();
  if (number <= std::numeric_limits<T>::max()) value = static_cast<T>(number);
}

/// \brief The names of an enumeration's values.
template <typename Enum, size_t kSize>
using enum_names = std::array<std::pair<std::string_view, Enum>, kSize>;

template <typename Enum, size_t kSize>
void Read(const nlohmann::json& object, const char* key,
          const enum_names<Enum, kSize>& names, Enum& value) {
  std::string text;
  Read(object, key, text);
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

/// \brief The schema of an enumeration's names.
template <typename Enum, size_t kSize>
nlohmann::json EnumSchema(const enum_names<Enum, kSize>& names) {
  nlohmann::json values = nlohmann::json::array();
  for (const auto& [name, each] : names) values.push_back(name);
  return {{"type", "string"}, {"enum", values}};
}

/// \brief Reads an IPv4 address that a host can have; reports any other text.
/// \param place of `object`.
void ReadAddress(const nlohmann::json& object, const char* key,
                 const std::string& place, uint32_t& address, findings& found);

/// \brief True for 1 to 63 characters of a-z, 0-9, '-', '_' and '.', the first
/// of them a letter or digit.
bool IsName(std::string_view text);

/// \brief Reads a name and reports one that IsName refuses.
/// \param place of `object`.
void ReadName(const nlohmann::json& object, const char* key,
              const std::string& place, std::string& name, findings& found);

}  // namespace radishyard::internal
