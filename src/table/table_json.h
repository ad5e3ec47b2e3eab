// The JSON form of services, as operators write them and as the store holds
// them.
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

/// \brief Reads one service and reports every fault of it together.
///
/// \code
/// findings found;
/// std::optional<service> s = ParseService(text, found);
/// if (!s) std::cerr << found.Text();  // "/upstreams/0/weight: is below ..."
/// \endcode
/// \returns the service, only where nothing was found.
/// \sa docs/table.md for fields, units and bounds.
std::optional<service> ParseService(std::string_view json, findings& found);

/// \brief The service as indented JSON, every field written out.
std::string ToJson(const service& s);

/// \brief A service as an operator's file gives it.
struct service_file {
  service value;
  std::optional<uint64_t> version;  ///< Version that the file was made from.
  std::vector<std::string> without_state;  ///< Upstreams whose state the file
                                           ///< leaves open, in order.
  auto operator<=>(const service_file&) const = default;
};

/// \brief Reads an operator's file: a service with an optional "version".
std::optional<service_file> ParseServiceFile(std::string_view json,
                                             findings& found);

/// \brief The service of a file, where each state that the file leaves open is
/// that of the upstream in `held`; so applying a file again ends no drain.
service InheritUpstreamStates(const service_file& file, const service& held);

/// \brief The file form of a record: the service and its version.
std::string ToFileJson(const service_record& record);

/// \brief Reads the value of the store's object "services/<name>": a service
/// with the id of the edit that wrote it.
/// \param version of the store's object.
std::optional<service_record> ParseRecord(std::string_view json,
                                          uint64_t version, findings& found);

/// \brief An edit before the last one, and the version that it wrote.
struct earlier_edit {
  std::string id;
  uint64_t version = 0;
  auto operator<=>(const earlier_edit&) const = default;
};

/// \brief Most earlier edits that a record keeps.
inline constexpr size_t kMaxEarlierEdits = 16;

/// \brief The edits before the last one, newest first, as a valid record keeps
/// them; they tell whether an edit without an answer took effect.
std::vector<earlier_edit> ParseEarlierEdits(std::string_view json);

/// \brief The store's value for a service written by the edit `edit_id`.
/// \param earlier edits before it, newest first; the oldest beyond
/// kMaxEarlierEdits are left out.
std::string ToRecordJson(const service& s, const std::string& edit_id,
                         const std::vector<earlier_edit>& earlier = {});

/// \brief Key of a service's object in the store.
std::string ToServiceKey(const std::string& name);

/// \brief What all keys of services begin with.
inline constexpr std::string_view kServiceKeyPrefix = "services/";

}  // namespace radishyard
