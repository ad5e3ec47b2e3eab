// Client of the control port of a stand-in process.
#pragma once
#include <nlohmann/json.hpp>

#include "base/asio.h"

namespace radishyard {

/// \brief One connection to a control port. A command is one line of JSON, and
/// so is its reply.
///
/// \code
/// control_client fabric(port);
/// fabric.SendCommand({{"cmd", "faults"}, {"duplicate", 0.02}});
/// \endcode
class control_client {
 public:
  explicit control_client(uint16_t port);

  /// \brief Sends a command and waits up to 180 s for its reply. Throws
  /// std::runtime_error if no reply arrives or if the reply reports an error.
  nlohmann::json SendCommand(const nlohmann::json& command);

 private:
  asio::ip::tcp::iostream stream_;
};

}  // namespace radishyard
