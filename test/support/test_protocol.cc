// An answer is a function of request and upstream, so a check compares it
// whole.
#include "support/test_protocol.h"

#include <algorithm>
#include <cstdlib>

namespace radishyard {
namespace {

constexpr size_t kLineBytes = 100;
constexpr size_t kFillerPeriod = 26;

std::string Head(const request& r, const std::string& upstream) {
  return "id=" + r.id + " service=" + r.service + " upstream=" + upstream;
}

uint32_t Number(const std::string& line, const std::string& key,
                uint32_t otherwise) {
  const std::string text = GetField(line, key);
  if (text.empty()) return otherwise;
  return static_cast<uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
}

}  // namespace

std::string GetField(const std::string& line, const std::string& key) {
  const std::string mark = key + "=";
  size_t at = line.find(mark);
  while (at != std::string::npos && at > 0 && line[at - 1] != ' ')
    at = line.find(mark, at + 1);
  if (at == std::string::npos) return "";
  at += mark.size();
  return line.substr(at, line.find_first_of(" \n", at) - at);
}

std::string ToRequestLine(const request& r) {
  std::string line = "id=" + r.id + " service=" + r.service +
                     " ms=" + std::to_string(r.service_ms) +
                     " bytes=" + std::to_string(r.bytes);
  if (r.parts != 1) line += " parts=" + std::to_string(r.parts);
  if (r.push_ms != 0) line += " push=" + std::to_string(r.push_ms);
  if (!r.idempotent) line += " once=1";
  return line + "\n";
}

std::optional<request> ParseRequest(const std::string& line) {
  request r;
  r.id = GetField(line, "id");
  r.service = GetField(line, "service");
  if (r.id.empty() || r.service.empty()) return std::nullopt;
  r.service_ms = Number(line, "ms", 0);
  r.bytes = Number(line, "bytes", 0);
  r.parts = std::max(1U, Number(line, "parts", 1));
  r.push_ms = Number(line, "push", 0);
  r.idempotent = Number(line, "once", 0) == 0;
  return r;
}

std::string MakeResponse(const request& r, const std::string& upstream) {
  std::string answer;
  for (size_t line = 0; answer.empty() || answer.size() < r.bytes; ++line) {
    std::string text = Head(r, upstream) + " line=" + std::to_string(line);
    text += " ";
    while (text.size() + 1 < kLineBytes)
      text += static_cast<char>('a' + (text.size() + line) % kFillerPeriod);
    answer += text + "\n";
  }
  const size_t least = Head(r, upstream).size() + 1;
  answer.resize(std::max<size_t>(r.bytes, least));
  answer.back() = '\n';
  return answer;
}

std::string MakeFeedLine(const request& r, const std::string& upstream,
                         uint64_t seq, const std::string& echo) {
  std::string line = Head(r, upstream) + " seq=" + std::to_string(seq);
  if (!echo.empty()) line += " echo=" + echo;
  return line + "\n";
}

bool IsCompleteResponse(const request& r, const std::string& answer) {
  return answer == MakeResponse(r, GetField(answer, "upstream"));
}

}  // namespace radishyard
