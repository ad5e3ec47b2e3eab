// The result of a command of radishyardctl: an exit code, and the report in
// both output formats.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "base/failure.h"
#include "base/finding.h"
#include "ctl/exit_code.h"

namespace radishyard {

/// \brief Exit code and report of a command.
struct command_result {
  exit_code code = exit_code::kDone;
  std::string text;     ///< Report as text; empty or ends with a line feed.
  nlohmann::json json;  ///< Report as JSON, for --output json.
};

/// \brief Returns the result of a command that failed for the reason `why`. The
/// exit code follows from its kind.
command_result MakeFailureResult(const failure& why);

/// \brief Returns the result of a command whose input has findings.
command_result MakeFindingsResult(const findings& found);

}  // namespace radishyard
