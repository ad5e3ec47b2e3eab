// What a command of radishyardctl gives back: an exit code, and the report in
// both output forms.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "base/failure.h"
#include "base/finding.h"
#include "ctl/exit_code.h"

namespace radishyard {

struct command_result {
  exit_code code = exit_code::kDone;
  std::string text;     ///< For people; ends with a line feed unless empty.
  nlohmann::json json;  ///< For programs (--output json).
};

/// \brief The result of a command that ended by a failure of the store.
command_result FailedBy(const failure& why);

/// \brief The result of a command whose input has findings.
command_result FoundFaults(const findings& found);

}  // namespace radishyard
