// Reads and writes the JSON of the platform's HTTP interface.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/object_store.h"

namespace radishyard::internal {

/// \brief Reads `{"key":..,"value":..,"version":..}`; nothing if malformed.
std::optional<stored_object> ParseObject(std::string_view text);
/// \brief Reads `{"revision":..,"objects":[..]}`. A malformed object is left
/// out and counted; nothing if the batch as a whole is malformed.
std::optional<object_batch> ParseBatch(std::string_view text);
/// \brief Reads `{"version":..}`; nothing if malformed.
std::optional<uint64_t> ParseVersion(std::string_view text);
/// \brief Reads `[{"name":..,"leaving":..}]`; nothing if malformed.
std::optional<std::vector<vm_entry>> ParseVms(std::string_view text);

std::string FormatObject(const stored_object& object);
std::string FormatBatch(const object_batch& batch);
std::string FormatVersion(uint64_t version);
std::string FormatVms(const std::vector<vm_entry>& vms);

/// \brief Percent-encodes all but letters, digits, `-._~` and `/`.
std::string EncodeUrl(std::string_view text);

}  // namespace radishyard::internal
