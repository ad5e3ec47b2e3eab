// A last resort for exceptions that no code expects. Without it, one would end
// the process, or end the chain of asynchronous operations whose handler throws
// it.
#pragma once
#include <exception>
#include <string_view>

#include "observe/log.h"

namespace radishyard {

/// \brief Calls `body` and logs an exception that it throws.
///
/// To be used only where the state stays sound if `body` ends early.
/// \param where names the handler in the log.
/// \returns false if an exception was thrown.
template <typename Body>
bool RunGuarded(std::string_view where, Body body) {
  try {
    body();
    return true;
  } catch (const std::exception& error) {
    Log(severity::kError, "unexpected_error",
        {{"where", std::string(where)}, {"reason", std::string(error.what())}});
    return false;
  }
}

}  // namespace radishyard
