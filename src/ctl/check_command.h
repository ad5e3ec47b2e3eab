// The command `check`: reports, before `apply`, what is wrong with files, what
// in them has no effect, and how they differ from the services in force. It
// writes nothing.
#pragma once
#include <string>
#include <vector>

#include "ctl/blocking_store.h"
#include "ctl/command_result.h"

namespace radishyard {

/// \brief Value of check_options::against that names the platform's store.
inline constexpr const char* kAgainstLive = "live";

struct check_options {
  std::vector<std::string> files;  ///< Files and folders to check.
  /// What is in force: kAgainstLive, a file or a folder; empty for no
  /// comparison.
  std::string against;
};

/// \brief Checks files by the rules of `apply` and of table_advice.h, and
/// compares them with what is in force.
/// \param store is used with kAgainstLive only.
/// \returns kFindings with errors, otherwise kNotDone with warnings or
/// differences. Valid files are compared although others have errors.
command_result CheckFiles(blocking_store& store, const check_options& options);

}  // namespace radishyard
