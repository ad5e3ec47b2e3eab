// Measures how cost grows with size: of heartbeats by the number of peers, of
// the table by services, of pool ownership by members and pools, and of flows
// by their number.
//
// Usage: capacity_bench [--quick] [--json FILE] [peers|table|state|ownership|
// flows]... Prints a table; --json writes the same figures to a file.
#include <cstdio>
#include <fstream>
#include <map>
#include <set>
#include <string>

#include "observe/log.h"
#include "support/measure.h"

namespace radishyard {
namespace {

using measure_function = std::vector<measurement> (*)(bench_scale);

const std::map<std::string, measure_function>& AllParts() {
  static const std::map<std::string, measure_function> parts = {
      {"peers", MeasurePeers},
      {"table", MeasureTable},
      {"state", MeasureControlState},
      {"ownership", MeasureOwnership},
      {"flows", MeasureFlows}};
  return parts;
}

struct arguments {
  bench_scale scale = bench_scale::kFull;
  std::string json_file;
  std::set<std::string> parts;
};

bool ParseArguments(int argc, char** argv, arguments& out) {
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--quick") {
      out.scale = bench_scale::kQuick;
    } else if (argument == "--json" && i + 1 < argc) {
      out.json_file = argv[++i];
    } else if (AllParts().contains(argument)) {
      out.parts.insert(argument);
    } else {
      return false;
    }
  }
  return true;
}

int Run(const arguments& args) {
  OpenLog("capacity_bench", severity::kError, "-");
  std::vector<measurement> all;
  for (const auto& [name, measure] : AllParts()) {
    if (!args.parts.empty() && !args.parts.contains(name)) continue;
    const std::vector<measurement> measurements = measure(args.scale);
    all.insert(all.end(), measurements.begin(), measurements.end());
    std::fprintf(stderr, "measured: %s\n", name.c_str());
  }
  std::fputs(ToMarkdownTable(all).c_str(), stdout);
  if (args.json_file.empty()) return 0;
  std::ofstream file(args.json_file);
  file << ToMeasurementsJson(all);
  file.close();
  return file ? 0 : 1;
}

}  // namespace
}  // namespace radishyard

int main(int argc, char** argv) {
  radishyard::arguments args;
  if (!radishyard::ParseArguments(argc, argv, args)) {
    std::fputs(
        "usage: capacity_bench [--quick] [--json FILE] "
        "[peers|table|state|ownership|flows]...\n",
        stderr);
    return 2;
  }
  return radishyard::Run(args);
}
