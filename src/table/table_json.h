// The JSON form of services, as operators write them and as the store holds
// them.
#pragma once
#include <optional>
#include <string>
#include <string_view>

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

/// \brief Reads the value of the store's object "services/<name>": a service
/// with the id of the edit that wrote it.
/// \param version of the store's object.
std::optional<service_record> ParseRecord(std::string_view json,
                                          uint64_t version, findings& found);

/// \brief The store's value for a service written by the edit `edit_id`.
std::string RecordJson(const service& s, const std::string& edit_id);

/// \brief Key of a service's object in the store.
std::string ServiceKey(const std::string& name);

/// \brief What all keys of services begin with.
inline constexpr std::string_view kServicePrefix = "services/";

}  // namespace radishyard
