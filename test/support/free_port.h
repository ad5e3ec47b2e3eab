// Loopback helpers for tests: free ports.
#pragma once
#include <cstdint>

namespace radishyard {

/// \brief A UDP and TCP port on 127.0.0.1 that was free a moment ago.
uint16_t FindFreePort();

}  // namespace radishyard
