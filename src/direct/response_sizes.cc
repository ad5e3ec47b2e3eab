// Comparison of an answer's size with the usual one.
#include "direct/response_sizes.h"

#include <algorithm>
#include <cmath>

namespace radishyard {
namespace {

constexpr double kSampleWeight = 0.05;
/// Answers seen before any is called small.
constexpr uint32_t kMinSamples = 10;
/// Part of the usual size below which an answer is small.
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
