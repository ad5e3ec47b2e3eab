// A stand-in as a child process of a test, with its data port and its control
// port.
#pragma once
#include <string>
#include <vector>

#include "support/control_client.h"
#include "support/process.h"

namespace radishyard {

/// \brief Path of a program in the build folder of the running test.
std::string BinaryPath(const std::string& name);

/// \brief Creates an empty folder for the files of the running test. A folder
/// that is left over from an earlier run is removed.
/// \returns its path.
std::string MakeTestFolder();

/// \brief A running stand-in. The constructor throws std::runtime_error if it
/// does not start within 10 s.
class stand_in_process {
 public:
  stand_in_process(const std::string& name,
                   const std::vector<std::string>& arguments,
                   const std::string& folder);

  /// \brief The endpoint of its data port, such as "127.0.0.1:9000".
  const std::string& data() const { return data_; }
  /// \brief Sends a command to its control port. \sa control_client
  nlohmann::json SendCommand(const nlohmann::json& command) {
    return control_.SendCommand(command);
  }

 private:
  process child_;
  std::string ready_line_;  ///< Printed at the start; contains the ports.
  std::string data_;
  control_client control_;
};

}  // namespace radishyard
