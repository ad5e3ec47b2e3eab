// The command line of radishyardd and radishyard_edge.
#pragma once
#include <optional>
#include <string>

namespace radishyard {

/// \brief Command-line options of a daemon.
struct daemon_options {
  std::string settings_file;  ///< Empty if not given.
  bool check_only = false;    ///< Check the settings and exit.
};

/// \brief Parses the command line.
/// \returns nothing if it contains an invalid option; the error has then been
/// printed to the standard error stream.
std::optional<daemon_options> ParseDaemonOptions(const char* program, int argc,
                                                 const char** argv);

/// \brief Reads a whole text file. \returns nothing if it cannot be read.
std::optional<std::string> ReadTextFile(const std::string& file);

}  // namespace radishyard
