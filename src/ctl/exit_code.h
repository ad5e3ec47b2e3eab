// Exit codes of radishyardctl, as listed in its manual page.
#pragma once
#include <cstdint>

namespace radishyard {

/// \brief Exit code of the process.
enum class exit_code : uint8_t {
  kDone = 0,     ///< The command succeeded or had nothing to do.
  kNotDone = 1,  ///< An edit was not accepted, or something was not found; for
                 ///< `diff`: there are differences.
  kUsage = 2,    ///< The command line is invalid.
  kUnavailable = 3,  ///< The platform does not respond.
  kUnknown = 4,      ///< An edit may or may not have been accepted.
  kLagging = 5,      ///< A balancer has an older version than the store, or no
                     ///< balancer responds.
  kFindings = 6,     ///< A file or the resulting table is invalid.
};

}  // namespace radishyard
