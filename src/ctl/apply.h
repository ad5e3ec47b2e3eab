// The command `apply`: writes the services that files describe to the store.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "ctl/blocking_store.h"
#include "ctl/command_result.h"

namespace radishyard {

/// \brief Returns a new edit id at each call.
using edit_id_source = std::function<std::string()>;

struct apply_options {
  std::vector<std::string> files;  ///< Files and folders to apply.
  /// File or folder with the services that the edit was made from, as the base
  /// of a merge; may be empty.
  std::string base;
  /// Merge with edits that other operators have made since.
  bool merge = false;
};

/// \brief Applies files with one conditional write for each service that
/// differs from the store.
///
/// All files and the resulting table are checked before the first write; if
/// there is any finding, nothing is written. The services are written
/// independently of each other: if one is not accepted, the others are still
/// written.
command_result ApplyFiles(blocking_store& store, const apply_options& options,
                          const edit_id_source& new_edit_id);

}  // namespace radishyard
