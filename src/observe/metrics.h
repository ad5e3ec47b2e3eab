// Text of a metrics page in the exposition format of Prometheus.
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

/// \brief What a metric is, as the page's "# TYPE" line tells.
enum class metric_kind : uint8_t { kCounter, kGauge, kHistogram };

/// \brief Collects samples into the text of a page.
///
/// \code
/// metrics_page page;
/// page.BeginMetric(metric_kind::kGauge, "radishyard_open_flows",
///                  "Flows open now.");
/// page.AddSample({{"thread", "0"}}, 17);
/// page.Text();  // ... radishyard_open_flows{thread="0"} 17
/// \endcode
class metrics_page {
 public:
  /// \brief Begins a metric; the samples after it are of this metric.
  void BeginMetric(metric_kind kind, std::string_view name,
                   std::string_view help);
  void AddSample(const metric_labels& labels, double value);
  /// \brief Buckets, sum and count of a metric of kind kHistogram.
  void AddHistogram(const metric_labels& labels, const time_histogram& times);
  const std::string& Text() const { return text_; }

 private:
  void Line(std::string_view suffix, const metric_labels& labels, double value);

  std::string name_;  // Of the metric begun last.
  std::string text_;
};

}  // namespace radishyard
