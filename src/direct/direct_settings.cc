// Fields of the settings. They are read field by field, not by schema: a
// schema takes longer to compile than the rest of the start together.
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

constexpr internal::enum_names<log_level, 5> kLevels{
    {{"trace", log_level::kTrace},
     {"debug", log_level::kDebug},
     {"info", log_level::kInfo},
     {"warn", log_level::kWarn},
     {"error", log_level::kError}}};

/// Reads members of one document and collects what is wrong with them.
struct settings_reader {
  const json& document;
  findings& found;

  void Name(const char* key, std::string& value) const {
    internal::Read(document, key, value);
    if (value.empty())
      found.Add(JoinJsonPointer("", key), "is missing or empty");
  }

  void Address(const char* key, endpoint& value) const {
    const json& member = GetField(document, key);
    const auto parsed = member.is_string()
                            ? ParseEndpoint(member.get<std::string>())
                            : std::nullopt;
    if (!parsed)
      return found.Add(JoinJsonPointer("", key), "is no ADDRESS:PORT");
    value = *parsed;
  }

  void Addresses(const char* key, std::vector<endpoint>& values) const {
    const json& list = GetField(document, key);
    if (list.is_null()) return;
    if (!list.is_array())
      return found.Add(JoinJsonPointer("", key), "is no list");
    for (const json& text : list) {
      const auto parsed = text.is_string()
                              ? ParseEndpoint(text.get<std::string>())
                              : std::nullopt;
      if (parsed) values.push_back(*parsed);
      if (!parsed)
        found.Add(JoinJsonPointer(JoinJsonPointer("", key), values.size()),
                  "is no ADDRESS:PORT");
    }
  }

  void Bound(const char* key, duration& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    const double ms = member.is_number() ? member.get<double>() : 0;
    if (ms < 1 || ms > kMaxBoundMs)
      return found.Add(JoinJsonPointer("", key), "is not between 1 and 600000");
    value = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  /// Any positive share of a core, in thousandths.
  void Size(const char* key, uint32_t& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    const double share = member.is_number() ? member.get<double>() : 0;
    constexpr double kMostCores = 1024;
    if (share <= 0 || share > kMostCores)
      return found.Add(JoinJsonPointer("", key), "is not between 0 and 1024");
    constexpr double kThousandths = 1000;
    value = std::max(1U, static_cast<uint32_t>(share * kThousandths));
  }

  void Level(const char* key, log_level& value) const {
    const json& member = GetField(document, key);
    if (member.is_null()) return;
    internal::Read(document, key, kLevels, value);
    const bool is_known =
        member.is_string() && internal::ToName(kLevels, value) == member;
    if (!is_known) found.Add(JoinJsonPointer("", key), "is no level");
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
  reader.Name("name", s.name);
  reader.Name("domain", s.domain);
  reader.Size("cores", s.size);
  reader.Address("traffic", s.traffic);
  reader.Address("ready", s.ready);
  reader.Address("metrics", s.metrics);
  reader.Address("peer", s.peer);
  if (document->contains("peer_public"))
    reader.Address("peer_public", s.peer_public.emplace());
  reader.Addresses("peers", s.peers);
  reader.Address("platform", s.platform);
  reader.Bound("drain_bound_ms", s.drain_bound);
  reader.Bound("edit_bound_ms", s.edit_bound);
  reader.Bound("stop_grace_ms", s.stop_grace);
  reader.Level("log_level", s.level);
  if (found.size() > before) return std::nullopt;
  return s;
}

}  // namespace radishyard
