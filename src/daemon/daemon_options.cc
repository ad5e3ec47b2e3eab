// Parses the command line with popt.
#include "daemon/daemon_options.h"

#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace radishyard {

std::optional<daemon_options> ParseDaemonOptions(const char* program, int argc,
                                                 const char** argv) {
  char* file = nullptr;
  int check_only = 0;
  const poptOption option_table[] = {
      {"settings", 's', POPT_ARG_STRING, &file, 0,
       "Settings of this balancer (JSON)", "FILE"},
      {"check", 'c', POPT_ARG_NONE, &check_only, 0,
       "Check the settings and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(program, argc, argv, option_table, 0);
  const int status = poptGetNextOpt(context);
  if (status < -1)
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(status)
              << "\n";
  poptFreeContext(context);
  daemon_options options{file == nullptr ? "" : file, check_only != 0};
  free(file);  // NOLINT: popt allocates with malloc.
  if (status < -1) return std::nullopt;
  return options;
}

std::optional<std::string> ReadTextFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace radishyard
