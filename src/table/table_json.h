// Converts services from and to JSON, in the form of operators' files and in
// the form of the store.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "table/service.h"

namespace radishyard {

/// \brief Reads one service and reports all its faults together.
///
/// \code
/// findings found;
/// std::optional<service> s = ParseService(text, found);
/// if (!s) std::cerr << found.Text();  // "/upstreams/0/weight: is below ..."
/// \endcode
/// \returns the service, or nothing if there are findings.
/// \sa docs/table.md for fields, units and bounds.
std::optional<service> ParseService(std::string_view json, findings& found);

/// \brief Converts a service to indented JSON that contains every field.
std::string ToJson(const service& s);

/// \brief The content of an operator's file.
struct service_file {
  service value;
  std::optional<uint64_t> version;  ///< Version that the file is based on.
  /// Names of the upstreams whose state the file does not set, in its order.
  std::vector<std::string> upstreams_without_state;
  auto operator<=>(const service_file&) const = default;
};

/// \brief Reads an operator's file: a service with an optional "version".
std::optional<service_file> ParseServiceFile(std::string_view json,
                                             findings& found);

/// \brief Returns the service of a file, with each state that the file does not
/// set taken from the upstream of the same name in `stored`. Applying a file
/// again therefore does not end a drain.
service InheritUpstreamStates(const service_file& file, const service& stored);

/// \brief Converts a record to the content of an operator's file: the service
/// and its version.
std::string ToFileJson(const service_record& record);

/// \brief Reads the value of the store's object "services/<name>": a service
/// with the identifier of the edit that wrote it.
/// \param version version of that object.
std::optional<service_record> ParseRecord(std::string_view json,
                                          uint64_t version, findings& found);

/// \brief An edit before the last one, with the version that it wrote.
struct earlier_edit {
  std::string id;
  uint64_t version = 0;
  auto operator<=>(const earlier_edit&) const = default;
};

/// \brief Maximum number of earlier edits in a record.
inline constexpr size_t kMaxEarlierEdits = 16;

/// \brief Reads the edits before the last one from a valid record, newest
/// first. An editor that received no reply finds out by them whether its edit
/// took effect.
std::vector<earlier_edit> ParseEarlierEdits(std::string_view json);

/// \brief Converts a service that the edit `edit_id` writes to the value of its
/// object in the store.
/// \param earlier the edits before it, newest first; only the first
/// kMaxEarlierEdits are written.
std::string ToRecordJson(const service& s, const std::string& edit_id,
                         const std::vector<earlier_edit>& earlier = {});

/// \brief The key of a service's object in the store.
std::string ToServiceKey(const std::string& name);

/// \brief The prefix of the keys of all services.
inline constexpr std::string_view kServiceKeyPrefix = "services/";

}  // namespace radishyard
