// Generates traces, and writes and reads them as JSON lines.
#include "support/replay_trace.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>

namespace radishyard::test {
namespace {

constexpr uint32_t kFirstCaller = 0x0a010000;
constexpr uint32_t kGreedyCaller = 0x0a00ffff;

struct generator {
  const trace_shape& shape;
  std::mt19937_64 random;
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random); }
  double Exponential(double mean) {
    return std::exponential_distribution<>(1 / mean)(random);
  }
  uint32_t PickCaller() { return kFirstCaller + random() % shape.callers; }
};

bool IsInPeak(const trace_shape& s, double at_us) {
  return at_us >= 1000.0 * s.peak_from_ms && at_us < 1000.0 * s.peak_to_ms;
}

trace_flow MakeRequest(generator& g, double at_us) {
  const trace_shape& s = g.shape;
  trace_flow f{.at_us = static_cast<int64_t>(at_us)};
  f.caller =
      g.Uniform() < s.greedy_caller_share ? kGreedyCaller : g.PickCaller();
  f.is_long = g.Uniform() < s.long_share;
  // Half of the mean work is fixed, the other half is exponentially
  // distributed.
  double work = s.work_us * (0.5 + g.Exponential(0.5));
  if (f.is_long) work *= s.long_factor;
  f.work_us = static_cast<int64_t>(work);
  if (f.is_long) {
    f.priority = priority_class::kBulk;
  } else if (g.Uniform() < s.urgent_share) {
    f.priority = priority_class::kUrgent;
  }
  return f;
}

trace_flow MakeFeed(generator& g, double at_us) {
  return {.at_us = static_cast<int64_t>(at_us),
          .caller = g.PickCaller(),
          .kind = port_kind::kFeed,
          .work_us = static_cast<int64_t>(1000.0 * g.shape.feed_duration_ms *
                                          (0.5 + g.Uniform()))};
}

}  // namespace

double MeanRequestWorkUs(const trace_shape& s) {
  return s.work_us * (1 + s.long_share * (s.long_factor - 1));
}

std::vector<trace_flow> GenerateTrace(const trace_shape& s) {
  generator g{s, std::mt19937_64(s.seed)};
  std::vector<trace_flow> flows;
  const double end = 1000.0 * s.duration_ms;
  double at = 0;
  while (s.request_rate > 0 && at < end) {
    const double factor = IsInPeak(s, at) ? s.peak_factor : 1;
    at += g.Exponential(1e6 / (s.request_rate * factor));
    flows.push_back(MakeRequest(g, at));
  }
  at = 0;
  while (s.feed_rate > 0 && at < end) {
    at += g.Exponential(1e6 / s.feed_rate);
    flows.push_back(MakeFeed(g, at));
  }
  std::stable_sort(flows.begin(), flows.end(),
                   [](const trace_flow& a, const trace_flow& b) {
                     return a.at_us < b.at_us;
                   });
  return flows;
}

void WriteTrace(std::ostream& out, const std::vector<trace_flow>& flows) {
  for (const trace_flow& f : flows) {
    out << nlohmann::json{{"at_us", f.at_us},
                          {"caller", f.caller},
                          {"kind", static_cast<int>(f.kind)},
                          {"priority", static_cast<int>(f.priority)},
                          {"work_us", f.work_us},
                          {"long", f.is_long}}
        << '\n';
  }
}

std::vector<trace_flow> ReadTrace(std::istream& in) {
  std::vector<trace_flow> flows;
  for (std::string line; std::getline(in, line);) {
    const auto j = nlohmann::json::parse(line);
    flows.push_back({j.at("at_us"), j.at("caller"),
                     static_cast<port_kind>(j.at("kind").get<int>()),
                     static_cast<priority_class>(j.at("priority").get<int>()),
                     j.at("work_us"), j.at("long")});
  }
  return flows;
}

std::vector<trace_flow> RoundTripThroughJson(
    const std::vector<trace_flow>& flows) {
  std::stringstream lines;
  WriteTrace(lines, flows);
  return ReadTrace(lines);
}

}  // namespace radishyard::test
