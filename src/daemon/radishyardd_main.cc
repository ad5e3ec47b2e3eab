// radishyardd, the daemon of a balancer.
// Usage: radishyardd --settings FILE [--check]
#include <chrono>
#include <iostream>

#include "daemon/daemon.h"
#include "daemon/daemon_options.h"
#include "observe/log.h"

namespace radishyard {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

std::optional<settings> ReadSettings(const std::string& file) {
  const std::optional<std::string> text = ReadTextFile(file);
  if (!text) {
    std::cerr << file << ": cannot be read\n";
    return std::nullopt;
  }
  findings found;
  std::optional<settings> config = ParseSettings(*text, found);
  if (!config) std::cerr << file << ":\n" << found.Text();
  return config;
}

// Returns the wall clock in milliseconds, because an incarnation must be higher
// than that of any earlier run of the same balancer.
uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

int Main(int argc, const char** argv) {
  const auto options = ParseDaemonOptions("radishyardd", argc, argv);
  if (!options || options->settings_file.empty()) {
    std::cerr << "usage: radishyardd --settings FILE [--check]\n";
    return kExitUsage;
  }
  const auto config = ReadSettings(options->settings_file);
  if (!config) return kExitUsage;
  if (options->check_only) return 0;
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
