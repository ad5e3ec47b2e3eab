// Usual sizes of answers by published address. A balancer cannot read answers,
// but their size tells failures apart: an error page is short.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief Smoothed logarithm of the answers' sizes of one address.
struct response_size {
  double log_bytes = 0;
  uint32_t samples = 0;
};

/// \brief By published address.
using response_sizes = absl::flat_hash_map<endpoint, response_size>;

/// \brief Takes the size of one answer.
/// \returns true where it is so much smaller than usual that it is probably an
/// error. Never true before some answers have been seen.
bool RecordResponseSize(response_sizes& sizes, const endpoint& address,
                        uint32_t bytes);

}  // namespace radishyard
