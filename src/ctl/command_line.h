// The command line of radishyardctl.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/time.h"
#include "packet/flow_key.h"

namespace radishyard {

enum class output_format : uint8_t { kText, kJson };

/// \brief A parsed command line.
struct command_line {
  std::string command;
  std::vector<std::string> arguments;  ///< Arguments after the command.
  std::vector<std::string> files;      ///< --file, may be repeated
  std::string base;                    ///< --base
  std::string against;                 ///< --against
  bool merge = false;                  ///< --merge
  std::optional<uint64_t> after;       ///< --after
  std::optional<endpoint> platform;    ///< --platform
  duration timeout = 2000ms;           ///< --timeout, for each call
  output_format output = output_format::kText;
  bool wants_version = false;  ///< --version
  auto operator<=>(const command_line&) const = default;
};

/// \brief Parses the arguments of main(). The options --help and --usage print
/// their text and exit the process.
/// \returns nothing if the command line is invalid, with the reason in `why`.
std::optional<command_line> ParseCommandLine(int argc, const char** argv,
                                             failure& why);

}  // namespace radishyard
