// The command line that the daemons share, by popt.
#pragma once
#include <optional>
#include <string>

namespace radishyard {

/// \brief Options of a daemon.
struct daemon_options {
  std::string settings_file;  ///< Empty if not given.
  bool check_only = false;    ///< Check the settings and end.
};

/// \brief Reads the command line; what is wrong with it goes to the standard
/// error stream. \returns nothing where it is wrong.
std::optional<daemon_options> ParseDaemonOptions(const char* program, int argc,
                                                 const char** argv);

/// \brief The text of a settings file, or nothing if it cannot be read.
std::optional<std::string> ReadTextFile(const std::string& file);

}  // namespace radishyard
