// Fits lines by least squares, and formats measurements as a table and as JSON.
#include "support/line_fit.h"

#include <cassert>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace radishyard {
namespace {

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

std::string FormatSamples(const measurement& m) {
  std::string text;
  for (const sample& s : m.samples) {
    if (!text.empty()) text += ", ";
    text += FormatNumber(s.size) + ": " + FormatNumber(s.value);
  }
  return text;
}

}  // namespace

line_fit FitLine(std::span<const sample> samples) {
  assert(samples.size() >= 2 && "a line needs two samples");
  const auto n = static_cast<double>(samples.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const sample& s : samples) {
    mean_x += s.size / n;
    mean_y += s.value / n;
  }
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const sample& s : samples) {
    xx += (s.size - mean_x) * (s.size - mean_x);
    xy += (s.size - mean_x) * (s.value - mean_y);
    yy += (s.value - mean_y) * (s.value - mean_y);
  }
  assert(xx > 0 && "a line needs two different sizes");
  line_fit fit;
  fit.slope = xy / xx;
  fit.intercept = mean_y - fit.slope * mean_x;
  fit.r2 = yy > 0 ? xy * xy / (xx * yy) : 1;
  return fit;
}

std::string ToMarkdownTable(std::span<const measurement> measurements) {
  std::string text =
      "| measurement | by | size: value | slope | intercept | r^2 |\n"
      "|---|---|---|---|---|---|\n";
  for (const measurement& m : measurements) {
    const line_fit fit = FitLine(m.samples);
    text += "| " + m.name + " (" + m.value_unit + ") | " + m.size_unit + " | " +
            FormatSamples(m) + " | " + FormatNumber(fit.slope) + " | " +
            FormatNumber(fit.intercept) + " | " + FormatNumber(fit.r2) + " |\n";
  }
  return text;
}

std::string ToMeasurementsJson(std::span<const measurement> measurements) {
  nlohmann::json page = {{"measurements", nlohmann::json::array()}};
  for (const measurement& m : measurements) {
    const line_fit fit = FitLine(m.samples);
    nlohmann::json samples = nlohmann::json::array();
    for (const sample& s : m.samples)
      samples.push_back({{"size", s.size}, {"value", s.value}});
    page["measurements"].push_back({{"name", m.name},
                                    {"size_unit", m.size_unit},
                                    {"value_unit", m.value_unit},
                                    {"samples", samples},
                                    {"slope", fit.slope},
                                    {"intercept", fit.intercept},
                                    {"r2", fit.r2}});
  }
  return page.dump(2) + "\n";
}

}  // namespace radishyard
