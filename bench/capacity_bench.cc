// Measures how cost grows with size: heartbeats by peers, the table by
// services, ownership by members and pools, flows by their number.
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

using measure_function = std::vector<measurement> (*)(extent);

const std::map<std::string, measure_function>& Parts() {
  static const std::map<std::string, measure_function> parts = {
      {"peers", MeasurePeers},
      {"table", MeasureTable},
      {"state", MeasureControlState},
      {"ownership", MeasureOwnership},
      {"flows", MeasureFlows}};
  return parts;
}

struct arguments {
  extent how_much = extent::kFull;
  std::string json_file;
  std::set<std::string> parts;
};

bool Read(int argc, char** argv, arguments& out) {
  for (int i = 1; i < argc; ++i) {
    const std::string word = argv[i];
    if (word == "--quick") {
      out.how_much = extent::kQuick;
    } else if (word == "--json" && i + 1 < argc) {
      out.json_file = argv[++i];
    } else if (Parts().contains(word)) {
      out.parts.insert(word);
    } else {
      return false;
    }
  }
  return true;
}

int Run(const arguments& args) {
  OpenLog("capacity_bench", severity::kError, "-");
  std::vector<measurement> all;
  for (const auto& [name, measure] : Parts()) {
    if (!args.parts.empty() && !args.parts.contains(name)) continue;
    const std::vector<measurement> found = measure(args.how_much);
    all.insert(all.end(), found.begin(), found.end());
    std::fprintf(stderr, "measured: %s\n", name.c_str());
  }
  std::fputs(TableText(all).c_str(), stdout);
  if (args.json_file.empty()) return 0;
  std::ofstream file(args.json_file);
  file << JsonText(all);
  file.close();
  return file ? 0 : 1;
}

}  // namespace
}  // namespace radishyard

int main(int argc, char** argv) {
  radishyard::arguments args;
  if (!radishyard::Read(argc, argv, args)) {
    std::fputs(
        "usage: capacity_bench [--quick] [--json FILE] "
        "[peers|table|state|ownership|flows]...\n",
        stderr);
    return 2;
  }
  return radishyard::Run(args);
}
