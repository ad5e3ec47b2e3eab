// Prints metrics of the placement policy next to those of its variants, as
// tables for docs/measurements.md or, with --json, as one JSON object per line.
// The headings and column names are part of that page. "--only WORD" prints the
// tables whose title contains WORD. Usage: policy_report [--json] [--only WORD]
// [SEED]
#include <cstdio>
#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "support/replay_metrics.h"
#include "support/replay_scenarios.h"
#include "support/replay_variants.h"

namespace radishyard::test {
namespace {

using figures = std::vector<std::pair<std::string, double>>;
using figure_function = std::function<figures(const replay_window&)>;

bool print_json = false;
std::string title_filter;

const char* ToName(workload w) {
  return w == workload::kArmor ? "Armor" : "Atlas Colle";
}

void PrintRow(const std::string& title, workload w,
              const std::string& variant_name, const figures& row,
              bool is_first) {
  if (print_json) {
    std::printf("{\"table\":\"%s\",\"workload\":\"%s\",\"variant\":\"%s\"",
                title.c_str(), ToName(w), variant_name.c_str());
    for (const auto& [name, value] : row)
      std::printf(",\"%s\":%.4g", name.c_str(), value);
    std::printf("}\n");
    return;
  }
  if (is_first) {
    std::printf("\n### %s: %s\n\n| variant |", title.c_str(), ToName(w));
    for (const auto& f : row) std::printf(" %s |", f.first.c_str());
    std::printf("\n|---|");
    for (size_t i = 0; i < row.size(); ++i) std::printf("--:|");
    std::printf("\n");
  }
  std::printf("| %s |", variant_name.c_str());
  for (const auto& f : row) std::printf(" %.4g |", f.second);
  std::printf("\n");
}

void PrintTable(const std::string& title,
                const std::vector<policy_variant>& variants,
                const std::function<scenario(workload)>& make,
                const figure_function& compute) {
  if (title.find(title_filter) == std::string::npos) return;
  for (workload w : {workload::kArmor, workload::kAtlasColle}) {
    scenario s = make(w);
    bool is_first = true;
    for (const policy_variant& v : variants) {
      replay_setup setup = s.setup;
      v.apply(setup);
      const replay_result result = Replay(setup, s.trace);
      PrintRow(title, w, v.name, compute({setup, s.trace, result}), is_first);
      is_first = false;
    }
  }
}

using kind = flow_outcome::kind;

replay_window WithWindow(const replay_window& v, int64_t from, int64_t to) {
  return {v.setup, v.trace, v.result, from, to};
}

figures WaitFigures(const replay_window& v) {
  const auto completed = static_cast<double>(
      CountRequests(v, request_group::kAll, kind::kCompleted));
  const auto ended = static_cast<double>(
      completed + CountRequests(v, request_group::kAll, kind::kRefused) +
      CountRequests(v, request_group::kAll, kind::kFailed));
  return {{"short p50 ms", WaitMs(v, request_group::kShort, 50)},
          {"short p99 ms", WaitMs(v, request_group::kShort, 99)},
          {"urgent p99 ms", WaitMs(v, request_group::kUrgent, 99)},
          {"long p99 ms", WaitMs(v, request_group::kLong, 99)},
          {"short answer p50 ms", ResponseTimeMs(v, request_group::kShort, 50)},
          {"short answer p99 ms", ResponseTimeMs(v, request_group::kShort, 99)},
          {"completed %", 100 * completed / ended},
          {"limit violations", static_cast<double>(v.result.limit_violations)}};
}

figures PeakFigures(const replay_window& v) {
  const replay_window peak = WithWindow(v, 10'500, 15'000);
  const replay_window steady = WithWindow(v, 2'000, 10'000);
  const replay_window after = WithWindow(v, 20'000, 40'000);
  return {{"served % of capacity", 100 * UsedCapacityShare(peak)},
          {"refused", static_cast<double>(CountRequests(v, request_group::kAll,
                                                        kind::kRefused))},
          {"failed", static_cast<double>(
                         CountRequests(v, request_group::kAll, kind::kFailed))},
          {"latest refusal ms", MaxRefusalDelayMs(v)},
          {"crest short p99 ms", WaitMs(peak, request_group::kShort, 99)},
          {"crest urgent p99 ms", WaitMs(peak, request_group::kUrgent, 99)},
          {"steady p99 ms", WaitMs(steady, request_group::kShort, 99)},
          {"p99 5 s after ms", WaitMs(after, request_group::kShort, 99)},
          {"long completed", static_cast<double>(CountRequests(
                                 v, request_group::kLong, kind::kCompleted))},
          {"long refused", static_cast<double>(CountRequests(
                               v, request_group::kLong, kind::kRefused))},
          {"limit violations", static_cast<double>(v.result.limit_violations)}};
}

figure_function FaultFigures(int upstream_index) {
  return [upstream_index](const replay_window& v) -> figures {
    const replay_window late = WithWindow(v, 12'000, 25'000);
    const auto all = static_cast<double>(CountPlacements(late, -1));
    return {{"its share %",
             100 * static_cast<double>(CountPlacements(late, upstream_index)) /
                 all},
            {"new flows 1 s..15 s",
             static_cast<double>(CountPlacements(WithWindow(v, 11'000, 25'000),
                                                 upstream_index))},
            {"failed", static_cast<double>(CountRequests(v, request_group::kAll,
                                                         kind::kFailed))},
            {"retries %", 100 * MaxRetryShare(v)},
            {"short p99 ms", WaitMs(late, request_group::kShort, 99)},
            {"p99 after ms",
             WaitMs(WithWindow(v, 27'000, 40'000), request_group::kShort, 99)},
            {"share after %",
             100 *
                 static_cast<double>(CountPlacements(
                     WithWindow(v, 30'000, 40'000), upstream_index)) /
                 static_cast<double>(
                     CountPlacements(WithWindow(v, 30'000, 40'000), -1))}};
  };
}

void PrintFaultTables(uint64_t seed) {
  using fault = upstream_fault::kind;
  const std::vector<std::pair<std::string, upstream_fault>> faults = {
      {"one upstream slows to 1/8", {3, 0, 0, fault::kSlow, 0.125}},
      {"one upstream swallows openings", {3, 0, 0, fault::kBlackHole, 1}},
      {"one upstream fails fast", {3, 0, 0, fault::kFailFast, 1}},
      {"one upstream sheds half", {3, 0, 0, fault::kShed, 0.5}}};
  for (const auto& [name, what] : faults) {
    PrintTable(
        name, AllVariants(),
        [&f = what, seed](workload w) { return LoadWithFault(w, f, seed); },
        FaultFigures(3));
  }
}

void PrintFeedJoinAndCallerTables(uint64_t seed) {
  PrintTable(
      "10,000 feeds", AllVariants(),
      [seed](workload w) { return ManyFeeds(w, seed); },
      [](const replay_window& v) -> figures {
        return {
            {"imbalance %", 100 * MaxWeightImbalance(WithWindow(v, 0, 50'000))},
            {"limit violations",
             static_cast<double>(v.result.limit_violations)}};
      });
  PrintTable(
      "join at 70% load", AllVariants(),
      [seed](workload w) { return UpstreamJoins(w, 0.7, seed); },
      [](const replay_window& v) -> figures {
        const replay_window cold = WithWindow(v, 10'000, 15'000);
        return {{"its share % while cold",
                 100.0 * static_cast<double>(CountPlacements(cold, 3)) /
                     static_cast<double>(CountPlacements(cold, -1))},
                {"short p99 ms while cold",
                 WaitMs(cold, request_group::kShort, 99)},
                {"short p99 ms after", WaitMs(WithWindow(v, 20'000, 30'000),
                                              request_group::kShort, 99)}};
      });
  PrintTable(
      "one greedy caller", AllVariants(),
      [seed](workload w) { return GreedyCaller(w, seed); },
      [](const replay_window& v) -> figures {
        const replay_window late = WithWindow(v, 5'000, 30'000);
        return {{"its share %", 100 * CallerSlotShare(late, kGreedyCaller)},
                {"served % of capacity", 100 * UsedCapacityShare(late)},
                {"short p99 ms", WaitMs(late, request_group::kShort, 99)},
                {"latest refusal ms", MaxRefusalDelayMs(v)}};
      });
}

figures OwnershipFigures(const replay_window& v) {
  const double seconds = static_cast<double>(v.result.end_us) / 1e6;
  return {{"limit violations", static_cast<double>(v.result.limit_violations)},
          {"imbalance of open flows %",
           100 * MaxWeightImbalance(WithWindow(v, 0, 50'000))},
          {"short p99 ms", WaitMs(v, request_group::kShort, 99)},
          {"refused", static_cast<double>(CountRequests(v, request_group::kAll,
                                                        kind::kRefused))},
          {"control bytes/s",
           static_cast<double>(v.result.control_bytes) / seconds}};
}

void PrintPlacementTables(uint64_t seed) {
  for (int load : {70, 90}) {
    PrintTable(
        "pools at " + std::to_string(load) + "% load", PoolVariants(),
        [=](workload w) { return SteadyLoad(w, load / 100.0, 0.03, seed); },
        WaitFigures);
  }
  for (int load : {70, 90}) {
    PrintTable(
        "ownership at " + std::to_string(load) + "% load", OwnershipVariants(),
        [=](workload w) { return FeedsAndRequests(w, load / 100.0, seed); },
        OwnershipFigures);
  }
}

void PrintAllTables(uint64_t seed) {
  PrintTable(
      "crest at twice the capacity", AllVariants(),
      [seed](workload w) { return PeakLoad(w, seed); }, PeakFigures);
  PrintTable(
      "crest with an owner lost, a slow and a silent upstream", AllVariants(),
      [seed](workload w) { return PeakLoadWithLostBalancer(w, seed); },
      PeakFigures);
  for (int load : {70, 80, 90}) {
    for (bool with_long : {false, true}) {
      PrintTable(
          "steady " + std::to_string(load) +
              (with_long ? "%, 3% of requests long" : "%, none long"),
          AllVariants(),
          [=](workload w) {
            return SteadyLoad(w, load / 100.0, with_long ? 0.03 : 0, seed);
          },
          WaitFigures);
    }
  }
  PrintFaultTables(seed);
  PrintFeedJoinAndCallerTables(seed);
  PrintPlacementTables(seed);
}

}  // namespace
}  // namespace radishyard::test

int main(int argc, char** argv) {
  uint64_t seed = 1;
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--json") == 0) {
      radishyard::test::print_json = true;
    } else if (std::strcmp(argv[i], "--only") == 0 && i + 1 < argc) {
      radishyard::test::title_filter = argv[++i];
    } else {
      seed = std::strtoull(argv[i], nullptr, 10);
    }
  }
  radishyard::test::PrintAllTables(seed);
  return 0;
}
