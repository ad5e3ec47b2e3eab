// The command `apply`: brings services of the store to what files say.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "ctl/blocking_store.h"
#include "ctl/command_result.h"

namespace radishyard {

/// \brief Gives a new edit id at each call.
using edit_id_source = std::function<std::string()>;

struct apply_options {
  std::vector<std::string> files;  ///< Files and folders.
  std::string base;  ///< File or folder that the edit was made from; optional.
  bool merge = false;  ///< Merge with edits that others made meanwhile.
};

/// \brief Applies files: one conditional write for each service that differs.
///
/// All files, and the table that would result, are checked before the first
/// write; with any finding nothing is written. Services are independent: one
/// that is not accepted does not hold back the others.
command_result ApplyFiles(blocking_store& store, const apply_options& options,
                          const edit_id_source& new_edit_id);

}  // namespace radishyard
