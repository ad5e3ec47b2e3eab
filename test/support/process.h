// A child process of a test whose output goes to a file.
#pragma once
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief Runs one program and kills it on destruction. Only this pid is
/// signalled.
///
/// \code
/// process fabric(BinaryPath("fabric"), {"--seed", "7"}, folder + "/fabric");
/// auto line = fabric.WaitForLine("fabric listening", 5s);
/// \endcode
class process {
 public:
  /// \brief Starts `program`; stdout and stderr are written to `output_file`.
  /// Throws std::runtime_error if it cannot be started.
  process(const std::string& program, const std::vector<std::string>& arguments,
          std::string output_file);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /// \brief Waits for an output line that contains `text`.
  /// \returns the first such line; nothing on timeout.
  std::optional<std::string> WaitForLine(const std::string& text,
                                         duration timeout) const;
  /// \brief Sends a signal such as SIGSTOP. Has no effect once Wait() has
  /// returned the exit code.
  void SendSignal(int number) const;
  /// \brief Waits until the process ends.
  /// \returns the exit code, or 128 plus the number of the signal that ended
  /// it; nothing on timeout.
  std::optional<int> Wait(duration timeout);
  /// \brief The output written so far.
  std::string Output() const;

 private:
  std::string output_file_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

/// \brief The number after `key` in a line such as "fabric listening data=9".
/// Throws std::invalid_argument if the line has no `key`.
uint16_t NumberAfter(const std::string& line, const std::string& key);

}  // namespace radishyard
