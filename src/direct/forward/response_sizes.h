// The usual size of responses at each published address. With direct server
// return a balancer never receives a response, but it derives the size from the
// caller's acknowledgements. A response far smaller than usual is probably an
// error page.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief The usual size of the responses at one address.
struct response_size {
  double log_bytes = 0;  ///< Smoothed natural logarithm of the size in bytes.
  uint32_t samples = 0;  ///< Responses recorded so far.
};

/// \brief Usual response sizes, keyed by published address.
using response_sizes = absl::flat_hash_map<endpoint, response_size>;

/// \brief Records the size of one response.
/// \returns true if the response is so much smaller than usual that it is
/// probably an error. Always false for the first responses at an address.
bool RecordResponseSize(response_sizes& sizes, const endpoint& address,
                        uint32_t bytes);

}  // namespace radishyard
