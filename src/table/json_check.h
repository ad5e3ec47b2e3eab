// Parses untrusted JSON documents of bounded size and validates them against a
// JSON Schema. Every finding is reported with its place in the document.
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

/// \brief Parses `text`. Rejects documents that are too long, nested too
/// deeply, truncated or malformed, and reports keys that occur twice in one
/// object.
/// \returns the document, or nothing if it is rejected. A document with
/// duplicate keys is returned as well.
std::optional<nlohmann::json> ParseJson(std::string_view text, findings& found);

/// \brief A compiled JSON Schema. Several threads may call Check at once.
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

/// \brief The JSON pointer of the key or list item within `parent`, which is a
/// JSON pointer itself.
std::string JoinJsonPointer(const std::string& parent, std::string_view key);
std::string JoinJsonPointer(const std::string& parent, size_t index);

/// \brief The schema of an object that has only the keys of `properties`.
nlohmann::json MakeObjectSchema(const nlohmann::json& properties,
                                const nlohmann::json& required);

/// \brief The schema of an integer from `minimum` to `maximum`.
nlohmann::json MakeIntegerSchema(int64_t minimum, int64_t maximum);

}  // namespace radishyard::internal
