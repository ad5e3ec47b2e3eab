// A response depends only on the request and the upstream, so that a check can
// compute it again and compare all of its bytes.
#include "support/test_protocol.h"

#include <algorithm>
#include <cstdlib>

namespace radishyard {
namespace {

constexpr size_t kResponseLineBytes = 100;
constexpr size_t kFillerLetters = 26;

std::string LinePrefix(const request& r, const std::string& upstream) {
  return "id=" + r.id + " service=" + r.service + " upstream=" + upstream;
}

uint32_t GetNumber(const std::string& line, const std::string& key,
                   uint32_t fallback) {
  const std::string text = GetField(line, key);
  if (text.empty()) return fallback;
  return static_cast<uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
}

}  // namespace

std::string GetField(const std::string& line, const std::string& key) {
  const std::string key_prefix = key + "=";
  size_t at = line.find(key_prefix);
  while (at != std::string::npos && at > 0 && line[at - 1] != ' ')
    at = line.find(key_prefix, at + 1);
  if (at == std::string::npos) return "";
  at += key_prefix.size();
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
  r.service_ms = GetNumber(line, "ms", 0);
  r.bytes = GetNumber(line, "bytes", 0);
  r.parts = std::max(1U, GetNumber(line, "parts", 1));
  r.push_ms = GetNumber(line, "push", 0);
  r.idempotent = GetNumber(line, "once", 0) == 0;
  return r;
}

std::string MakeResponse(const request& r, const std::string& upstream) {
  std::string response;
  for (size_t line = 0; response.empty() || response.size() < r.bytes; ++line) {
    std::string text =
        LinePrefix(r, upstream) + " line=" + std::to_string(line);
    text += " ";
    while (text.size() + 1 < kResponseLineBytes)
      text += static_cast<char>('a' + (text.size() + line) % kFillerLetters);
    response += text + "\n";
  }
  const size_t min_bytes = LinePrefix(r, upstream).size() + 1;
  response.resize(std::max<size_t>(r.bytes, min_bytes));
  response.back() = '\n';
  return response;
}

std::string MakeFeedLine(const request& r, const std::string& upstream,
                         uint64_t seq, const std::string& echo) {
  std::string line = LinePrefix(r, upstream) + " seq=" + std::to_string(seq);
  if (!echo.empty()) line += " echo=" + echo;
  return line + "\n";
}

bool IsCompleteResponse(const request& r, const std::string& response) {
  return response == MakeResponse(r, GetField(response, "upstream"));
}

}  // namespace radishyard
