// Parses the settings field by field. A JSON schema is not used, because
// compiling it takes longer than the rest of the start together.
#include "direct/direct_settings.h"

#include <nlohmann/json.hpp>

#include "table/json_check.h"
#include "table/json_read.h"

namespace radishyard {
namespace {

using internal::GetField;
using internal::JoinJsonPointer;
using nlohmann::json;

constexpr int64_t kMaxBoundMs = 600'000;

constexpr internal::enum_names<log_level, 5> kLevelNames{
    {{"trace", log_level::kTrace},
     {"debug", log_level::kDebug},
     {"info", log_level::kInfo},
     {"warn", log_level::kWarn},
     {"error", log_level::kError}}};

/// Reads the members of one document and collects a finding for each fault.
struct settings_reader {
  const json& document;
  findings& found;

  void ReadName(const char* key, std::string& value) const {
    internal::ReadField(document, key, value);
    if (value.empty())
      found.Add(JoinJsonPointer("", key), "is missing or empty");
  }

  void ReadAddress(const char* key, endpoint& value) const {
    const json& member = GetField(document, key);
    const auto parsed = member.is_string()
                            ? ParseEndpoint(member.get<std::string>())
                            : std::nullopt;
    if (!parsed)
      return found.Add(JoinJsonPointer("", key),
                       "is not of the form ADDRESS:PORT");
    value = *parsed;
  }

  void ReadAddresses(const char* key, std::vector<endpoint>& values) const {
    const json& list = GetField(document, key);
    if (list.is_null()) return;
    if (!list.is_array())
      return found.Add(JoinJsonPointer("", key), "is not a list");
    for (const json& text : list) {
      const auto parsed = text.is_string()
                              ? ParseEndpoint(text.get<std::string>())
                              : std::nullopt;
      if (parsed) values.push_back(*parsed);
      if (!parsed)
        found.Add(JoinJsonPointer(JoinJsonPointer("", key), values.size()),
                  "is not of the form ADDRESS:PORT");
    }
  }

  void ReadBound(const char* key, duration& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    const double ms = member.is_number() ? member.get<double>() : 0;
    if (ms < 1 || ms > kMaxBoundMs)
      return found.Add(JoinJsonPointer("", key),
                       "is not between 1 and 600000 ms");
    value = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  /// Reads a number of cores, possibly a fraction, into thousandths of a core.
  void ReadCapacity(const char* key, uint32_t& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    const double cores = member.is_number() ? member.get<double>() : 0;
    constexpr double kMaxCores = 1024;
    if (cores <= 0 || cores > kMaxCores)
      return found.Add(JoinJsonPointer("", key),
                       "is not a number of cores above 0 and up to 1024");
    constexpr double kMillicoresPerCore = 1000;
    value = std::max(1U, static_cast<uint32_t>(cores * kMillicoresPerCore));
  }

  void ReadLinkCapacity(const char* key, uint32_t& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    const double mbps = member.is_number() ? member.get<double>() : 0;
    constexpr double kMaxMbps = 1e6;
    if (mbps <= 0 || mbps > kMaxMbps)
      return found.Add(JoinJsonPointer("", key),
                       "is not a number of Mbit/s above 0 and up to 1000000");
    value = std::max(1U, static_cast<uint32_t>(mbps));
  }

  /// Reads a factor or a number of openings, which may be a fraction.
  void ReadNumber(const char* key, double least, double& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    constexpr double kMost = 1e6;
    const double number = member.is_number() ? member.get<double>() : -1;
    if (number < least || number > kMost)
      return found.Add(JoinJsonPointer("", key),
                       least > 0 ? "is not a number from 1 to 1000000"
                                 : "is not a number from 0 to 1000000");
    value = number;
  }

  void ReadFlag(const char* key, bool& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    if (!member.is_boolean())
      return found.Add(JoinJsonPointer("", key), "is not true or false");
    value = member.get<bool>();
  }

  void ReadLevel(const char* key, log_level& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    internal::ReadField(document, key, kLevelNames, value);
    const bool is_known =
        member.is_string() && internal::ToName(kLevelNames, value) == member;
    if (!is_known) found.Add(JoinJsonPointer("", key), "is not a log level");
  }
};

}  // namespace

std::optional<direct_settings> ParseDirectSettings(std::string_view text,
                                                   findings& found) {
  const size_t before = found.size();
  const auto document = internal::ParseJson(text, found);
  if (!document) return std::nullopt;
  const settings_reader reader{*document, found};
  direct_settings s;
  reader.ReadName("name", s.name);
  reader.ReadName("domain", s.domain);
  reader.ReadCapacity("cores", s.capacity_millicores);
  reader.ReadAddress("traffic", s.traffic);
  reader.ReadAddress("ready", s.ready);
  reader.ReadAddress("metrics", s.metrics);
  reader.ReadAddress("peer", s.peer);
  if (document->contains("peer_public"))
    reader.ReadAddress("peer_public", s.peer_public.emplace());
  reader.ReadAddresses("peers", s.peers);
  reader.ReadFlag("first_start", s.is_first_start);
  reader.ReadAddress("platform", s.platform);
  reader.ReadBound("drain_bound_ms", s.drain_bound);
  reader.ReadBound("edit_bound_ms", s.edit_bound);
  if (document->contains("evacuation_bound_ms"))
    reader.ReadBound("evacuation_bound_ms", s.evacuation_bound.emplace());
  reader.ReadBound("stop_grace_ms", s.stop_grace);
  reader.ReadLinkCapacity("link_mbps", s.link_mbps);
  reader.ReadFlag("spill_over", s.spill_over);
  reader.ReadFlag("admission", s.is_admission_enabled);
  reader.ReadNumber("start_overage", 1, s.start.overage);
  reader.ReadNumber("start_slack", 0, s.start.slack);
  reader.ReadLevel("log_level", s.level);
  if (found.size() > before) return std::nullopt;
  return s;
}

}  // namespace radishyard
