// Implements JSON Schema validation with valijson, which no other source
// includes.
#include "table/json_check.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace radishyard::internal {
namespace {

using nlohmann::json;
using event = json::parse_event_t;

// Returns true if brackets are nested deeper than kMaxDocumentDepth; brackets
// within strings don't count.
bool IsTooDeep(std::string_view text) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string && c == '\\') {
      ++i;
    } else if (c == '"') {
      in_string = !in_string;
    } else if (!in_string && (c == '{' || c == '[')) {
      if (++depth > kMaxDocumentDepth) return true;
    } else if (!in_string && (c == '}' || c == ']')) {
      depth -= depth > 0 ? 1 : 0;
    }
  }
  return false;
}

// Follows the events of the parser and reports keys that occur twice in an
// object.
class duplicate_key_detector {
 public:
  explicit duplicate_key_detector(findings& found) : found_(found) {}

  void HandleEvent(event type, const json& parsed) {
    switch (type) {
      case event::object_start:
        levels_.push_back({CurrentPlace(), false, 0, {}, {}});
        break;
      case event::array_start:
        levels_.push_back({CurrentPlace(), true, 0, {}, {}});
        break;
      case event::key:
        HandleKey(parsed.get<std::string>());
        break;
      case event::object_end:
      case event::array_end:
        levels_.pop_back();
        CountItem();
        break;
      case event::value:
        CountItem();
        break;
    }
  }

 private:
  struct level {
    std::string place;
    bool is_array = false;
    size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  std::string CurrentPlace() const {
    if (levels_.empty()) return "";
    const level& top = levels_.back();
    return top.is_array ? JoinJsonPointer(top.place, top.index)
                        : JoinJsonPointer(top.place, top.key);
  }

  void HandleKey(const std::string& key) {
    level& top = levels_.back();
    top.key = key;
    const bool is_new = top.keys.insert(key).second;
    if (!is_new && found_.size() < kMaxFindings)
      found_.Add(CurrentPlace(), "occurs twice in the same object");
  }

  void CountItem() {
    if (!levels_.empty()) ++levels_.back().index;
  }

  findings& found_;
  std::vector<level> levels_;
};

bool StartsWith(const std::string& text, std::string_view start) {
  return text.compare(0, start.size(), start) == 0;
}

// The validator reports a failed value again at each of its parents.
bool IsRepeatedAtParent(const std::string& text) {
  return StartsWith(text, "Failed to validate against schema associated") ||
         StartsWith(text, "Failed to validate item") ||
         StartsWith(text, "Failed to validate against additional");
}

// Extracts the bound from a message of the validator:
// "Expected number ... 65535.000000" -> "65535".
std::string ExtractBound(const std::string& text) {
  const size_t at = text.rfind(' ') + 1;
  return text.substr(at, text.find('.', at) - at);
}

std::string ToReason(const std::string& text) {
  if (StartsWith(text, "Value type not permitted")) return "has the wrong type";
  if (StartsWith(text, "Target should not validate"))
    return "is an unknown key";
  if (StartsWith(text, "Missing required property")) {
    const size_t open = text.find('\'') + 1;
    return "lacks the key \"" +
           text.substr(open, text.find('\'', open) - open) + "\"";
  }
  if (StartsWith(text, "Expected number greater"))
    return "is below the minimum, " + ExtractBound(text);
  if (StartsWith(text, "Expected number less"))
    return "is above the maximum, " + ExtractBound(text);
  if (StartsWith(text, "Failed to match against any enum"))
    return "is not one of the allowed values";
  return text.substr(0, text.find_last_not_of('.') + 1);
}

std::string ToPlace(const std::vector<std::string>& context) {
  std::string place;
  for (const std::string& step : context) {
    if (step.size() >= 2 && step.front() == '[')
      place = JoinJsonPointer(place, step.substr(1, step.size() - 2));
  }
  return place;
}

}  // namespace

struct json_schema::compiled {
  valijson::Schema schema;
};

json_schema::json_schema(const json& schema) {
  auto compiled_schema = std::make_unique<compiled>();
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema),
                        compiled_schema->schema);
  compiled_ = std::move(compiled_schema);
}

json_schema::~json_schema() = default;

void json_schema::Check(const json& document, findings& found) const {
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  try {
    const valijson::adapters::NlohmannJsonAdapter target(document);
    validator.validate(compiled_->schema, target, &results);
  } catch (const std::exception& error) {
    found.Add("", std::string("cannot be validated: ") + error.what());
  }
  for (const auto& result : results) {
    if (IsRepeatedAtParent(result.description)) continue;
    if (found.size() >= kMaxFindings) {
      found.Add("", "has more findings, which are not listed");
      return;
    }
    found.Add(ToPlace(result.context), ToReason(result.description));
  }
}

std::optional<json> ParseJson(std::string_view text, findings& found) {
  if (text.size() > kMaxDocumentBytes) {
    found.Add("",
              "is longer than " + std::to_string(kMaxDocumentBytes) + " bytes");
    return std::nullopt;
  }
  if (IsTooDeep(text)) {
    found.Add("", "is nested deeper than " + std::to_string(kMaxDocumentDepth) +
                      " levels");
    return std::nullopt;
  }
  duplicate_key_detector detector(found);
  const auto callback = [&detector](int, event type, json& parsed) {
    detector.HandleEvent(type, parsed);
    return true;
  };
  try {
    return json::parse(text, callback);
  } catch (const json::exception& error) {
    found.Add("", std::string("is not valid JSON: ") + error.what());
    return std::nullopt;
  }
}

std::string JoinJsonPointer(const std::string& parent, std::string_view key) {
  std::string pointer = parent + "/";
  for (const char c : key) {
    if (c == '~') {
      pointer += "~0";
    } else if (c == '/') {
      pointer += "~1";
    } else {
      pointer += c;
    }
  }
  return pointer;
}

std::string JoinJsonPointer(const std::string& parent, size_t index) {
  return parent + "/" + std::to_string(index);
}

json MakeObjectSchema(const json& properties, const json& required) {
  // With false instead of "not {}", the validator would not name every unknown
  // key.
  return {{"type", "object"},
          {"properties", properties},
          {"required", required},
          {"additionalProperties", {{"not", json::object()}}}};
}

json MakeIntegerSchema(int64_t minimum, int64_t maximum) {
  return {{"type", "integer"}, {"minimum", minimum}, {"maximum", maximum}};
}

}  // namespace radishyard::internal
