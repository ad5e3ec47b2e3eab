// Splits log lines into key=value pairs. Quoted values may contain spaces.
#include "ctl/log_lines.h"

namespace radishyard {
namespace {

/// Removes one "key=value" pair from the front of `text`. Returns false if
/// there is none left.
bool ReadPair(std::string_view& text, std::string& key, std::string& value) {
  const size_t begin = text.find_first_not_of(' ');
  if (begin == std::string_view::npos) return false;
  text.remove_prefix(begin);
  const size_t equals = text.find('=');
  if (equals == std::string_view::npos) return false;
  key = text.substr(0, equals);
  text.remove_prefix(equals + 1);
  value.clear();
  const bool is_quoted = !text.empty() && text.front() == '"';
  size_t at = is_quoted ? 1 : 0;
  for (; at < text.size(); ++at) {
    if (text[at] == (is_quoted ? '"' : ' ')) break;
    if (is_quoted && text[at] == '\\' && at + 1 < text.size()) ++at;
    value += text[at];
  }
  text.remove_prefix(std::min(text.size(), at + (is_quoted ? 1 : 0)));
  return true;
}

std::string LastWord(std::string_view text) {
  const size_t last = text.find_last_not_of(' ');
  if (last == std::string_view::npos) return "";
  text = text.substr(0, last + 1);
  const size_t space = text.rfind(' ');
  return std::string(space == std::string_view::npos ? text
                                                     : text.substr(space + 1));
}

}  // namespace

std::optional<log_line> ParseLogLine(std::string_view text,
                                     const std::string& source) {
  const size_t begin = text.find("time=");
  if (begin == std::string_view::npos) return std::nullopt;
  log_line line;
  const std::string_view prefix = text.substr(0, begin);
  line.source = source;
  const std::string word = LastWord(prefix);
  if (!word.empty()) line.source += ":" + word;
  text.remove_prefix(begin);
  std::string key;
  std::string value;
  while (ReadPair(text, key, value)) line.fields[key] = value;
  line.time = line.fields["time"];
  line.event = line.fields["event"];
  line.fields.erase("time");
  line.fields.erase("event");
  if (line.event.empty()) return std::nullopt;
  return line;
}

std::vector<log_line> ReadLogLines(std::istream& in,
                                   const std::string& source) {
  std::vector<log_line> lines;
  for (std::string text; std::getline(in, text);)
    if (auto line = ParseLogLine(text, source)) lines.push_back(*line);
  return lines;
}

const std::string& FieldOrEmpty(const log_line& line, const std::string& key) {
  static const std::string none;
  const auto found = line.fields.find(key);
  return found == line.fields.end() ? none : found->second;
}

}  // namespace radishyard
