// Writes a metrics page in the text exposition format of Prometheus.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "observe/time_histogram.h"

namespace radishyard {

/// \brief Labels of a sample, such as {{"service", "survey-link"}}.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// \brief Type of a metric, as stated in its "# TYPE" line.
enum class metric_kind : uint8_t { kCounter, kGauge, kHistogram };

/// \brief Builds the text of a metrics page, metric by metric.
///
/// \code
/// metrics_page page;
/// page.BeginMetric(metric_kind::kGauge, "radishyard_open_flows",
///                  "Flows open now.");
/// page.AddSample({{"thread", "0"}}, 17);
/// page.Text();  // "... radishyard_open_flows{thread=\"0\"} 17\n"
/// \endcode
class metrics_page {
 public:
  /// \brief Writes the "# HELP" and "# TYPE" lines of a metric. The samples and
  /// histograms that follow belong to this metric.
  void BeginMetric(metric_kind kind, std::string_view name,
                   std::string_view help);
  /// \brief Writes one sample of a counter or gauge.
  void AddSample(const metric_labels& labels, double value);
  /// \brief Writes the buckets, the sum in seconds and the count of a
  /// histogram.
  void AddHistogram(const metric_labels& labels, const time_histogram& times);
  const std::string& Text() const { return text_; }

 private:
  void AppendLine(std::string_view suffix, const metric_labels& labels,
                  double value);

  std::string name_;  // Name of the metric that was begun last.
  std::string text_;
};

}  // namespace radishyard
