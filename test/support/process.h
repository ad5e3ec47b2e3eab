// A child process of a test, with its output in a file.
#pragma once
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief Runs one program; ends it by its own pid on destruction.
///
/// \code
/// process fabric(BinaryPath("fabric"), {"--seed", "7"}, folder + "/fabric");
/// auto line = fabric.WaitForLine("fabric listening", 5s);
/// \endcode
class process {
 public:
  /// \brief Starts `program`; its stdout and stderr go to `output`.
  process(const std::string& program, const std::vector<std::string>& arguments,
          std::string output);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /// \brief The first output line that contains `mark`; nothing if none comes
  /// in time.
  std::optional<std::string> WaitForLine(const std::string& mark,
                                         duration timeout) const;
  /// \brief Sends a signal such as SIGSTOP. Does nothing once it has ended.
  void SendSignal(int number) const;
  /// \brief Waits for the end. \returns the exit code, or 128 and the signal.
  std::optional<int> Wait(duration timeout);
  /// \brief All output so far.
  std::string Output() const;

 private:
  std::string output_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

/// \brief The number after `key` in a line such as "fabric listening data=9".
uint16_t NumberAfter(const std::string& line, const std::string& key);

}  // namespace radishyard
