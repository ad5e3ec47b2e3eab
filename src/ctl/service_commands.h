// Commands that read or edit single services: validate, diff, get, join, drain,
// activate, delete and settle.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/apply.h"
#include "ctl/blocking_store.h"
#include "ctl/command_result.h"
#include "table/service.h"

namespace radishyard {

/// \brief Checks files without access to the store.
command_result Validate(const std::vector<std::string>& files);

/// \brief Reports what `apply` would change; kNotDone if there are differences.
command_result DiffFiles(blocking_store& store,
                         const std::vector<std::string>& files);

/// \brief Reports all services of the store, one line each.
command_result GetServices(blocking_store& store);

/// \brief Reports one service, with its version, in the format that `apply`
/// reads.
command_result GetService(blocking_store& store, const std::string& name);

/// \brief Sets the state of one upstream. If another edit of the service is
/// accepted first, the change is made again on top of it.
command_result SetUpstreamState(blocking_store& store, const std::string& name,
                                const std::string& upstream_name,
                                upstream_state state,
                                const edit_id_source& new_edit_id);

/// \brief Marks a service as deleted; its record remains in the store.
command_result DeleteService(blocking_store& store, const std::string& name,
                             const edit_id_source& new_edit_id);

/// \brief Reports whether an edit was accepted.
/// \param after version that the edit was made from, as printed with an unknown
/// outcome. Without it, an edit whose id is not found remains unknown.
command_result SettleEdit(blocking_store& store, const std::string& edit_id,
                          const std::string& name,
                          std::optional<uint64_t> after);

}  // namespace radishyard
