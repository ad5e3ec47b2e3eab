// The record of a run: what was sent, answered and run, with times in seconds.
#pragma once
#include <chrono>
#include <fstream>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using millis = std::chrono::milliseconds;

/// \brief Writes record.txt, and counts the broken rules.
class record {
 public:
  explicit record(const std::string& file) : out_(file) {}

  /// \brief Writes one line.
  void Write(const std::string& line);
  /// \brief Writes one line and counts a broken rule.
  void Break(const std::string& line);
  int breaks() const { return breaks_; }
  /// \brief Seconds since the start of the run.
  double Seconds(time_point at) const;

 private:
  std::ofstream out_;
  time_point start_ = steady::now();
  int breaks_ = 0;
};

}  // namespace review
