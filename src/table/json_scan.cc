// Finds the ends of JSON values by their strings and brackets.
#include "table/json_scan.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishyard::internal {
namespace {

using nlohmann::json;

constexpr std::string_view kSpace = " \t\n\r";
/// Characters that end a number or a literal.
constexpr std::string_view kScalarEnd = " \t\n\r,]}";

/// A position in a document. Each function that returns false or nothing leaves
/// the position undefined.
class json_cursor {
 public:
  explicit json_cursor(std::string_view text) : text_(text) {}

  /// Skips white space and then `expected`.
  /// \returns false if another character or the end follows.
  bool Take(char expected) {
    SkipSpace();
    if (at_ == text_.size() || text_[at_] != expected) return false;
    ++at_;
    return true;
  }

  /// Skips white space. \returns true at the end of the document.
  bool IsAtEnd() {
    SkipSpace();
    return at_ == text_.size();
  }

  /// Skips a string. \returns its text without the quotes.
  std::optional<std::string_view> TakeString() {
    if (!Take('"')) return std::nullopt;
    const size_t begin = at_;
    if (!SkipStringRest()) return std::nullopt;
    return text_.substr(begin, at_ - 1 - begin);
  }

  /// Skips a value.
  std::optional<json_text> TakeValue() {
    if (IsAtEnd()) return std::nullopt;
    const size_t begin = at_;
    const char first = text_[at_];
    size_t depth = 0;
    if (first == '{' || first == '[') {
      if (!SkipNested(depth)) return std::nullopt;
    } else if (first == '"') {
      ++at_;
      if (!SkipStringRest()) return std::nullopt;
    } else {
      at_ = std::min(text_.find_first_of(kScalarEnd, at_), text_.size());
    }
    if (at_ == begin) return std::nullopt;
    return json_text{text_.substr(begin, at_ - begin), depth};
  }

 private:
  void SkipSpace() {
    at_ = std::min(text_.find_first_not_of(kSpace, at_), text_.size());
  }

  /// Skips the rest of a string and its closing quote.
  bool SkipStringRest() {
    for (; at_ < text_.size(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
      } else if (text_[at_] == '"') {
        ++at_;
        return true;
      }
    }
    return false;
  }

  /// Skips an array or object. \param depth receives its nesting depth.
  bool SkipNested(size_t& depth) {
    size_t open = 0;
    while (at_ < text_.size()) {
      const char c = text_[at_++];
      if (c == '"' && !SkipStringRest()) return false;
      if (c == '{' || c == '[') depth = std::max(depth, ++open);
      if ((c == '}' || c == ']') && --open == 0) return true;
    }
    return false;
  }

  std::string_view text_;
  size_t at_ = 0;
};

}  // namespace

std::optional<json_text> ScanValue(std::string_view text) {
  json_cursor cursor(text);
  const auto value = cursor.TakeValue();
  return value && cursor.IsAtEnd() ? value : std::nullopt;
}

bool VisitMembers(
    std::string_view text,
    const std::function<void(std::string_view, const json_text&)>& visit) {
  json_cursor cursor(text);
  if (!cursor.Take('{')) return false;
  if (cursor.Take('}')) return cursor.IsAtEnd();
  do {
    const auto key = cursor.TakeString();
    if (!key || !cursor.Take(':')) return false;
    const auto value = cursor.TakeValue();
    if (!value) return false;
    visit(*key, *value);
  } while (cursor.Take(','));
  return cursor.Take('}') && cursor.IsAtEnd();
}

bool VisitItems(std::string_view text,
                const std::function<void(const json_text&)>& visit) {
  json_cursor cursor(text);
  if (!cursor.Take('[')) return false;
  if (cursor.Take(']')) return cursor.IsAtEnd();
  do {
    const auto item = cursor.TakeValue();
    if (!item) return false;
    visit(*item);
  } while (cursor.Take(','));
  return cursor.Take(']') && cursor.IsAtEnd();
}

std::optional<json> ParseBoundedJson(const json_text& value,
                                     const json_limits& limits) {
  if (value.text.size() > limits.max_bytes || value.depth > limits.max_depth)
    return std::nullopt;
  json parsed = json::parse(value.text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) return std::nullopt;
  return parsed;
}

}  // namespace radishyard::internal
