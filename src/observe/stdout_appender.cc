// Writes log lines to standard output without waiting for its reader.
#include "observe/stdout_appender.h"

#include <log4cxx/layout.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <string>

namespace radishyard::internal {

namespace {

/// A pipe that poll() reports as writable accepts a write of up to this size
/// completely and without blocking.
constexpr size_t kMaxAtomicWriteBytes = PIPE_BUF;

bool IsStdoutWritable() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// Returns false if standard output did not accept the whole line.
bool TryWriteLine(std::string_view line) {
  if (!IsStdoutWritable()) return false;
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace

void stdout_appender::append(const log4cxx::spi::LoggingEventPtr& event,
                             log4cxx::helpers::Pool& pool) {
  log4cxx::LogString line;
  getLayout()->format(line, event, pool);
  if (line.size() > kMaxAtomicWriteBytes) {
    line.resize(kMaxAtomicWriteBytes);
    line.back() = '\n';
  }
  if (dropped_ > 0) {
    const std::string drop_report =
        "level=WARN event=log_lines_dropped lines=" + std::to_string(dropped_) +
        "\n";
    if (!TryWriteLine(drop_report)) {
      ++dropped_;
      return;
    }
    dropped_ = 0;
  }
  if (!TryWriteLine(line)) ++dropped_;
}

// The last line of the namespace, because the macro opens a nested namespace
// log4cxx that would hide the global one.
IMPLEMENT_LOG4CXX_OBJECT(stdout_appender)

}  // namespace radishyard::internal
