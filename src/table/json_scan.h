// Splits a JSON document into the texts of its values without parsing them, so
// that one value that cannot be parsed does not make the others unreadable. The
// scan neither recurses nor allocates, whatever the document contains.
#pragma once
#include <cstddef>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

namespace radishyard::internal {

/// \brief The text of one JSON value.
///
/// Only its strings and brackets have been checked; ParseBoundedJson() checks
/// the rest.
struct json_text {
  std::string_view text;
  size_t depth = 0;  ///< Nested arrays and objects; 0 for a scalar value.
};

/// \brief Bounds on the text of one value.
struct json_limits {
  size_t max_bytes = 0;
  size_t max_depth = 0;
};

/// \brief Finds the extent of the value that is the whole of `text`.
/// \returns nothing if `text` is not one value with balanced brackets.
std::optional<json_text> ScanValue(std::string_view text);

/// \brief Visits the members of the object `text` in order: the raw text of
/// each key, without quotes and with its escapes, and the value.
/// \returns false if `text` is not an object. Members before the error have
/// been visited.
bool VisitMembers(std::string_view text,
                  const std::function<void(std::string_view key,
                                           const json_text& value)>& visit);

/// \brief Visits the items of the array `text` in order.
/// \returns false if `text` is not an array. Items before the error have been
/// visited.
bool VisitItems(std::string_view text,
                const std::function<void(const json_text& item)>& visit);

/// \brief Parses one value.
/// \returns nothing if it exceeds `limits` or is not valid JSON.
std::optional<nlohmann::json> ParseBoundedJson(const json_text& value,
                                               const json_limits& limits);

}  // namespace radishyard::internal
