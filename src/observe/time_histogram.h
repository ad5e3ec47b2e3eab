// A histogram of durations for the metrics page, based on Boost.Histogram.
#pragma once
#include <cstdint>
#include <memory>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief One bucket of a cumulative histogram.
struct histogram_bucket {
  double upper_bound_s = 0;
  uint64_t count = 0;  ///< Durations up to the upper bound.
  auto operator<=>(const histogram_bucket&) const = default;
};

/// \brief Counts durations in bins whose bounds double, from 1 ms to 65.536 s.
///
/// A traffic thread adds to a histogram of its own and passes copies to the
/// control thread. No histogram is shared between threads, so none needs a
/// lock.
///
/// \code
/// time_histogram waits;
/// waits.Add(3ms);
/// waits.Buckets();  // {0.001, 0}, {0.002, 0}, {0.004, 1}, ...
/// \endcode
class time_histogram {
 public:
  time_histogram();
  time_histogram(const time_histogram& other);
  time_histogram& operator=(const time_histogram& other);
  ~time_histogram();

  void Add(duration time);
  /// \brief Adds all durations of another histogram.
  time_histogram& operator+=(const time_histogram& other);

  /// \brief Cumulative counts in ascending order of their upper bounds.
  /// Durations above the last bound are included in Count() only.
  std::vector<histogram_bucket> Buckets() const;
  /// \brief Number of all durations added.
  uint64_t Count() const;
  /// \brief Sum of all durations added, in seconds.
  double SumSeconds() const;

 private:
  struct bins;
  // Never null. Defined in the source file, so that Boost.Histogram is not
  // included here.
  std::unique_ptr<bins> bins_;
};

}  // namespace radishyard
