// Compares the size of a response with the usual size at its address.
#include "direct/forward/response_sizes.h"

#include <algorithm>
#include <cmath>

namespace radishyard {
namespace {

/// Least weight of a new sample in the smoothed size.
constexpr double kSampleWeight = 0.05;
/// Responses recorded before any response is classified as small.
constexpr uint32_t kMinSamples = 10;
/// A response below this fraction of the usual size is small.
constexpr double kSmallFraction = 0.25;

}  // namespace

bool RecordResponseSize(response_sizes& sizes, const endpoint& address,
                        uint32_t bytes) {
  response_size& usual = sizes[address];
  const double log_bytes = std::log(std::max(1U, bytes));
  const bool is_small = usual.samples >= kMinSamples &&
                        log_bytes < usual.log_bytes + std::log(kSmallFraction);
  ++usual.samples;
  const double weight = std::max(kSampleWeight, 1.0 / usual.samples);
  usual.log_bytes += weight * (log_bytes - usual.log_bytes);
  return is_small;
}

}  // namespace radishyard
