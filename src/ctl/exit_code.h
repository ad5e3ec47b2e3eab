// Exit codes of radishyardctl, as its manual page lists them.
#pragma once
#include <cstdint>

namespace radishyard {

enum class exit_code : uint8_t {
  kDone = 0,         ///< Done, or nothing to do.
  kNotDone = 1,      ///< Not accepted or not found; for `diff`: differences.
  kUsage = 2,        ///< The command line is wrong.
  kUnavailable = 3,  ///< The platform does not answer.
  kUnknown = 4,      ///< An edit may or may not have been accepted.
  kLagging = 5,      ///< Some balancer has not yet the store's versions.
  kFindings = 6,     ///< A file or the resulting table is invalid.
};

}  // namespace radishyard
