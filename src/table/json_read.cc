// Reads names and addresses.
#include "table/json_read.h"

#include "packet/flow_key.h"
#include "table/json_check.h"

namespace radishyard::internal {
namespace {

constexpr uint32_t kFirstMulticast = 0xe0000000;  // 224.0.0.0
constexpr size_t kMaxNameBytes = 63;

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

}  // namespace

void ReadAddress(const nlohmann::json& object, const char* key,
                 const std::string& place, uint32_t& address, findings& found) {
  if (!GetField(object, key).is_string()) return;
  std::string text;
  ReadField(object, key, text);
  if (!ParseAddress(text, address)) {
    found.Add(JoinJsonPointer(place, key), "is not an IPv4 address");
  } else if (address == 0 || address >= kFirstMulticast) {
    found.Add(JoinJsonPointer(place, key), "is not the address of a host");
    address = 0;
  }
}

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  if (!IsLetterOrDigit(text.front())) return false;
  for (const char c : text) {
    if (!IsLetterOrDigit(c) && c != '-' && c != '_' && c != '.') return false;
  }
  return true;
}

void ReadName(const nlohmann::json& object, const char* key,
              const std::string& place, std::string& name, findings& found) {
  if (!GetField(object, key).is_string()) return;
  ReadField(object, key, name);
  if (IsValidName(name)) return;
  found.Add(JoinJsonPointer(place, key),
            "is not a valid name: 1 to 63 of a-z, 0-9, '-', '_', '.', starting "
            "with a letter or digit");
}

}  // namespace radishyard::internal
