// A stand-in as a test sees it: a child process with a data and a control port.
#pragma once
#include <string>
#include <vector>

#include "support/control_client.h"
#include "support/process.h"

namespace radishyard {

/// \brief Path of a program that was built next to this test.
std::string BinaryPath(const std::string& name);

/// \brief A new folder for the files of the running test.
std::string MakeTestFolder();

/// \brief A running stand-in. Throws std::runtime_error where it does not
/// start.
class stand_in_process {
 public:
  stand_in_process(const std::string& name,
                   const std::vector<std::string>& arguments,
                   const std::string& folder);

  /// \brief Its data endpoint, such as "127.0.0.1:9000".
  const std::string& data() const { return data_; }
  nlohmann::json SendCommand(const nlohmann::json& command) {
    return control_.SendCommand(command);
  }

 private:
  process child_;
  std::string line_;  ///< The line that tells the ports.
  std::string data_;
  control_client control_;
};

}  // namespace radishyard
