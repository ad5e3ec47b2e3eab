// Finds free ports on the loopback interface for tests.
#pragma once
#include <cstdint>

namespace radishyard {

/// \brief Returns a port of 127.0.0.1 to which both UDP and TCP can be bound at
/// the time of the call.
uint16_t FindFreePort();

}  // namespace radishyard
