// Reading JSON documents from outside: bounded parsing and validation by JSON
// Schema, with every finding at its place.
#pragma once
#include <cstddef>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/finding.h"

namespace radishyard::internal {

inline constexpr size_t kMaxDocumentBytes = 1'000'000;
inline constexpr size_t kMaxDocumentDepth = 16;
inline constexpr size_t kMaxFindings = 100;

/// \brief Parses `text`. Refuses documents that are too long, too deep,
/// truncated or malformed; reports keys that stand twice in one object.
/// \returns the document, where it could be read at all.
std::optional<nlohmann::json> ParseJson(std::string_view text, findings& found);

/// \brief A compiled JSON Schema. Checking is safe from several threads.
class json_schema {
 public:
  explicit json_schema(const nlohmann::json& schema);
  ~json_schema();

  /// \brief Adds one finding for each violation, at most kMaxFindings.
  void Check(const nlohmann::json& document, findings& found) const;

 private:
  struct compiled;
  std::unique_ptr<const compiled> compiled_;
};

/// \brief The JSON pointer of `key` within `parent`.
std::string JoinJsonPointer(const std::string& parent, std::string_view key);
std::string JoinJsonPointer(const std::string& parent, size_t index);

/// \brief An object schema with these properties that refuses any other key.
nlohmann::json ObjectSchema(const nlohmann::json& properties,
                            const nlohmann::json& required);

/// \brief An integer schema with these bounds.
nlohmann::json IntegerSchema(int64_t minimum, int64_t maximum);

}  // namespace radishyard::internal
