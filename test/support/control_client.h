// Client of a stand-in's control port.
#pragma once
#include <nlohmann/json.hpp>

#include "base/asio.h"

namespace radishyard {

/// \brief One connection; a command is one JSON line, its answer another.
///
/// \code
/// control_client fabric(port);
/// fabric.SendCommand({{"cmd", "faults"}, {"duplicate", 0.02}});
/// \endcode
class control_client {
 public:
  explicit control_client(uint16_t port);

  /// \brief Sends a command and waits for its answer. Throws
  /// std::runtime_error without one, or where it is an error.
  nlohmann::json SendCommand(const nlohmann::json& command);

 private:
  asio::ip::tcp::iostream stream_;
};

}  // namespace radishyard
