// Writing to standard output without waiting for its reader.
#include "observe/stdout_appender.h"

#include <log4cxx/layout.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <string>

namespace radishyard::internal {

namespace {

/// A pipe that is ready takes this much at once, whole.
constexpr size_t kAtomicBytes = PIPE_BUF;

bool HasRoom() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

bool WriteLine(std::string_view line) {
  if (!HasRoom()) return false;
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace

void stdout_appender::append(const log4cxx::spi::LoggingEventPtr& event,
                             log4cxx::helpers::Pool& pool) {
  log4cxx::LogString line;
  getLayout()->format(line, event, pool);
  if (line.size() > kAtomicBytes) {
    line.resize(kAtomicBytes);
    line.back() = '\n';
  }
  if (dropped_ > 0) {
    const std::string note =
        "level=WARN event=log_lines_dropped lines=" + std::to_string(dropped_) +
        "\n";
    if (!WriteLine(note)) {
      ++dropped_;
      return;
    }
    dropped_ = 0;
  }
  if (!WriteLine(line)) ++dropped_;
}

// Last, for the macro opens a namespace log4cxx here.
IMPLEMENT_LOG4CXX_OBJECT(stdout_appender)

}  // namespace radishyard::internal
