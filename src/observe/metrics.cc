// Writes "# HELP", "# TYPE" and sample lines.
#include "observe/metrics.h"

#include <array>
#include <cstdio>

namespace radishyard {
namespace {

const char* KindText(metric_kind kind) {
  switch (kind) {
    case metric_kind::kCounter:
      return "counter";
    case metric_kind::kGauge:
      return "gauge";
    case metric_kind::kHistogram:
      break;
  }
  return "histogram";
}

// Enough digits for every whole number below 2^53.
std::string NumberText(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.16g", value);
  return {text.data(), static_cast<size_t>(length)};
}

std::string Escaped(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    if (c == '\n') {
      text += "\\n";
    } else {
      text += c;
    }
  }
  return text;
}

}  // namespace

void metrics_page::BeginMetric(metric_kind kind, std::string_view name,
                               std::string_view help) {
  name_ = name;
  text_ += "# HELP " + name_ + " ";
  text_ += help;
  text_ += "\n# TYPE " + name_ + " " + KindText(kind) + "\n";
}

void metrics_page::AddSample(const metric_labels& labels, double value) {
  Line("", labels, value);
}

void metrics_page::AddHistogram(const metric_labels& labels,
                                const time_histogram& times) {
  metric_labels with_bound = labels;
  with_bound.emplace_back("le", "");
  for (const histogram_bucket& bucket : times.Buckets()) {
    std::array<char, 32> bound{};
    std::snprintf(bound.data(), bound.size(), "%.6g", bucket.at_most_s);
    with_bound.back().second = bound.data();
    Line("_bucket", with_bound, static_cast<double>(bucket.count));
  }
  with_bound.back().second = "+Inf";
  Line("_bucket", with_bound, static_cast<double>(times.Count()));
  Line("_sum", labels, times.SumSeconds());
  Line("_count", labels, static_cast<double>(times.Count()));
}

void metrics_page::Line(std::string_view suffix, const metric_labels& labels,
                        double value) {
  text_ += name_;
  text_ += suffix;
  const char* before = "{";
  for (const auto& [key, label] : labels) {
    text_ += before + key + "=\"" + Escaped(label) + "\"";
    before = ",";
  }
  if (!labels.empty()) text_ += "}";
  text_ += " " + NumberText(value) + "\n";
}

}  // namespace radishyard
