// A histogram of times for the metrics page, kept by Boost.Histogram.
#pragma once
#include <cstdint>
#include <memory>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief One step of a cumulative histogram.
struct histogram_bucket {
  double at_most_s = 0;  ///< Upper bound in seconds.
  uint64_t count = 0;    ///< Times up to that bound.
  auto operator<=>(const histogram_bucket&) const = default;
};

/// \brief Times in bins whose bounds double, from 1 ms to 65.536 s.
///
/// A traffic thread adds, and hands copies to the control thread; nothing is
/// shared, so no lock is needed.
///
/// \code
/// time_histogram waits;
/// waits.Add(3ms);
/// waits.Buckets();  // 0.001: 0, 0.002: 0, 0.004: 1, ...
/// \endcode
class time_histogram {
 public:
  time_histogram();
  time_histogram(const time_histogram& other);
  time_histogram& operator=(const time_histogram& other);
  ~time_histogram();

  void Add(duration time);
  /// \brief Adds all times of another histogram, such as another thread's.
  time_histogram& operator+=(const time_histogram& other);

  /// \brief Cumulative counts by rising bound; times above the last bound are
  /// in Count() only.
  std::vector<histogram_bucket> Buckets() const;
  uint64_t Count() const;
  double SumSeconds() const;

 private:
  struct bins;
  std::unique_ptr<bins> bins_;  // Never null.
};

}  // namespace radishyard
