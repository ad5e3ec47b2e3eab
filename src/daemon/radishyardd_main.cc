// radishyardd: the balancer's daemon. Usage: radishyardd --settings FILE
#include <popt.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

#include "daemon/daemon.h"
#include "observe/log.h"

namespace radishyard {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

struct command_line {
  std::string settings_file;
  bool check_only = false;
};

std::optional<command_line> ParseCommandLine(int argc, const char** argv) {
  char* file = nullptr;
  int check_only = 0;
  const poptOption options[] = {{"settings", 's', POPT_ARG_STRING, &file, 0,
                                 "Settings of this balancer (JSON)", "FILE"},
                                {"check", 'c', POPT_ARG_NONE, &check_only, 0,
                                 "Check the settings and exit", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("radishyardd", argc, argv, options, 0);
  const int rest = poptGetNextOpt(context);
  if (rest < -1)
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(rest)
              << "\n";
  poptFreeContext(context);
  if (rest < -1 || file == nullptr) return std::nullopt;
  command_line line{file, check_only != 0};
  free(file);  // NOLINT: popt allocates with malloc.
  return line;
}

std::optional<settings> ReadSettings(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  findings found;
  std::optional<settings> config = ParseSettings(text.str(), found);
  if (!config) std::cerr << file << ":\n" << found.Text();
  return config;
}

// Milliseconds of the wall clock: rises from run to run of the same balancer.
uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

int Main(int argc, const char** argv) {
  const auto line = ParseCommandLine(argc, argv);
  if (!line) {
    std::cerr << "usage: radishyardd --settings FILE [--check]\n";
    return kExitUsage;
  }
  const auto config = ReadSettings(line->settings_file);
  if (!config) return kExitUsage;
  if (line->check_only) return 0;
  OpenLog("radishyardd", static_cast<severity>(config->log.level),
          config->log.file);
  try {
    daemon balancer(*config, NewIncarnation());
    balancer.Run();
  } catch (const std::exception& error) {
    Log(severity::kError, "failed", {{"reason", error.what()}});
    return kExitFailed;
  }
  return 0;
}

}  // namespace
}  // namespace radishyard

int main(int argc, char** argv) {
  return radishyard::Main(argc, const_cast<const char**>(argv));
}
