// Measurements at several sizes, the straight line that fits them, and
// functions that format both as a Markdown table and as JSON.
#pragma once
#include <span>
#include <string>
#include <vector>

namespace radishyard {

/// \brief One measured value. The size is the quantity that the benchmark
/// varies, such as the number of flows.
struct sample {
  double size = 0;
  double value = 0;
};

/// \brief The line value = intercept + slope * size that fits samples by least
/// squares.
struct line_fit {
  double slope = 0;
  double intercept = 0;
  double r2 = 0;  ///< Coefficient of determination: 1 if all values are on the
                  ///< line. Also 1 if they are all equal, where the quotient
                  ///< is 0/0.
};

/// \brief A quantity measured at several sizes.
struct measurement {
  std::string name;        ///< Such as "heartbeat.bytes_per_second".
  std::string size_unit;   ///< Such as "peers".
  std::string value_unit;  ///< Such as "B/s".
  std::vector<sample> samples;
};

/// \brief Fits a line. \warning The samples must have at least two different
/// sizes.
line_fit FitLine(std::span<const sample> samples);

/// \brief Formats a Markdown table with one row for each measurement: sizes,
/// values, slope, intercept and r^2.
std::string ToMarkdownTable(std::span<const measurement> measurements);

/// \brief Formats sizes, values and fit as JSON: {"measurements": [...]}.
std::string ToMeasurementsJson(std::span<const measurement> measurements);

}  // namespace radishyard
