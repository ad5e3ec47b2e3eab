// Straight lines through measured values, and their report as table and JSON.
#pragma once
#include <span>
#include <string>
#include <vector>

namespace radishyard {

/// \brief One measured value at one size.
struct sample {
  double size = 0;
  double value = 0;
};

/// \brief The line value = intercept + slope * size by least squares.
struct line_fit {
  double slope = 0;
  double intercept = 0;
  double r2 = 0;  ///< 1 for values on a line; 1 also where all are the same.
};

/// \brief A quantity measured at some sizes.
struct measurement {
  std::string name;        ///< Such as "heartbeat.bytes_per_second".
  std::string size_unit;   ///< Such as "peers".
  std::string value_unit;  ///< Such as "B/s".
  std::vector<sample> samples;
};

/// \brief Fits the line. \warning Needs two different sizes.
line_fit FitLine(std::span<const sample> samples);

/// \brief One row for each measurement: sizes, values, slope, intercept, r^2.
std::string TableText(std::span<const measurement> all);

/// \brief The same as JSON: {"measurements": [...]}.
std::string JsonText(std::span<const measurement> all);

}  // namespace radishyard
