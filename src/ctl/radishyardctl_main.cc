// radishyardctl, the command-line tool for operators: parses the command line,
// runs one command against the platform's store and prints its report.
#include <iostream>

#include "ctl/balancer_pages.h"
#include "ctl/edit.h"
#include "ctl/run_command.h"
#include "store/http_store.h"

namespace radishyard {
namespace {

constexpr const char* kVersionText = "radishyardctl 0.1.0";

command_result Run(const command_line& line) {
  asio::io_context io;
  const auto store =
      MakeHttpStore(io, line.platform.value_or(endpoint{}), line.timeout);
  // The store applies the timeout itself; twice the timeout here ends calls
  // that the store fails to complete.
  blocking_store blocking(*store, io, 2 * line.timeout);
  const auto fetch = [&](const std::vector<endpoint>& addresses) {
    return FetchStatusPages(io, addresses, line.timeout);
  };
  return RunCommand(line, {blocking, fetch, RandomEditId});
}

// Prints reports to standard output, but a text that explains why nothing was
// done to standard error.
void Print(const command_result& result, output_format output) {
  if (output == output_format::kJson) {
    std::cout << result.json.dump(2) << "\n";
    return;
  }
  const bool is_error = result.code == exit_code::kUsage ||
                        result.code == exit_code::kUnavailable ||
                        result.code == exit_code::kFindings;
  (is_error ? std::cerr : std::cout) << result.text;
}

int Main(int argc, const char** argv) {
  failure why;
  const std::optional<command_line> line = ParseCommandLine(argc, argv, why);
  if (!line) {
    std::cerr << why.text << "; see radishyardctl --help\n";
    return static_cast<int>(exit_code::kUsage);
  }
  if (line->wants_version) {
    std::cout << kVersionText << "\n";
    return static_cast<int>(exit_code::kDone);
  }
  const command_result result = Run(*line);
  Print(result, line->output);
  return static_cast<int>(result.code);
}

}  // namespace
}  // namespace radishyard

int main(int argc, const char** argv) { return radishyard::Main(argc, argv); }
