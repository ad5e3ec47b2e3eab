// Writes the "# HELP", "# TYPE" and sample lines of a metrics page.
#include "observe/metrics.h"

#include <array>
#include <cstdio>

namespace radishyard {
namespace {

const char* ToText(metric_kind kind) {
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

// 16 significant digits represent every integer below 2^53 exactly.
std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.16g", value);
  return {text.data(), static_cast<size_t>(length)};
}

std::string EscapeLabelValue(std::string_view value) {
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
  text_ += "\n# TYPE " + name_ + " " + ToText(kind) + "\n";
}

void metrics_page::AddSample(const metric_labels& labels, double value) {
  AppendLine("", labels, value);
}

void metrics_page::AddHistogram(const metric_labels& labels,
                                const time_histogram& times) {
  metric_labels bucket_labels = labels;
  bucket_labels.emplace_back("le", "");
  for (const histogram_bucket& bucket : times.Buckets()) {
    std::array<char, 32> bound_text{};
    std::snprintf(bound_text.data(), bound_text.size(), "%.6g",
                  bucket.upper_bound_s);
    bucket_labels.back().second = bound_text.data();
    AppendLine("_bucket", bucket_labels, static_cast<double>(bucket.count));
  }
  bucket_labels.back().second = "+Inf";
  AppendLine("_bucket", bucket_labels, static_cast<double>(times.Count()));
  AppendLine("_sum", labels, times.SumSeconds());
  AppendLine("_count", labels, static_cast<double>(times.Count()));
}

void metrics_page::AppendLine(std::string_view suffix,
                              const metric_labels& labels, double value) {
  text_ += name_;
  text_ += suffix;
  const char* separator = "{";
  for (const auto& [key, label] : labels) {
    text_ += separator + key + "=\"" + EscapeLabelValue(label) + "\"";
    separator = ",";
  }
  if (!labels.empty()) text_ += "}";
  text_ += " " + FormatNumber(value) + "\n";
}

}  // namespace radishyard
