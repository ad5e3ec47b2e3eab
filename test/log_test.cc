// Tests the rate limit of the log, and that writing to standard output never
// waits for the reader of the output.
#include "observe/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "observe/log_budget.h"

namespace radishyard {
namespace {

TEST(LogBudget, LimitsTheLinesOfEachEventPerSecond) {
  log_budget budget{.max_lines_per_second = 3};
  EXPECT_TRUE(StartNextSecond(budget, AtMs(1000)).empty());
  for (int i = 0; i < 5; ++i) EXPECT_EQ(AllowLine(budget, "opening"), i < 3);
  EXPECT_TRUE(AllowLine(budget, "other"));
  EXPECT_TRUE(StartNextSecond(budget, AtMs(1999)).empty());
  const std::vector<suppressed_lines> expected{{"opening", 2}};
  EXPECT_EQ(StartNextSecond(budget, AtMs(2000)), expected);
  EXPECT_TRUE(AllowLine(budget, "opening"));
}

/// Redirects standard output to a pipe that is not read until Read() is called.
class unread_stdout {
 public:
  unread_stdout() {
    EXPECT_EQ(pipe(pipe_), 0);
    saved_stdout_ = dup(STDOUT_FILENO);
    dup2(pipe_[1], STDOUT_FILENO);
  }
  ~unread_stdout() {
    dup2(saved_stdout_, STDOUT_FILENO);
    close(saved_stdout_);
    close(pipe_[0]);
    close(pipe_[1]);
  }
  /// Returns everything written since the last call.
  std::string Read() const {
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    for (ssize_t n = 0; (n = read(pipe_[0], buffer.data(), buffer.size())) > 0;)
      text.append(buffer.data(), static_cast<size_t>(n));
    return text;
  }

 private:
  int pipe_[2]{};
  int saved_stdout_ = -1;
};

// A reader of standard output that stops reading fills the pipe; a log that
// then waits for space in the pipe stops the daemon.
TEST(Log, DropsLinesInsteadOfWaitingForTheReader) {
  constexpr int kLines = 20'000;  // Several times the capacity of a pipe.
  const std::string padding(200, 'x');
  const unread_stdout output;
  OpenLog("radishyardd", severity::kInfo, "-");
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) {
    const std::string event = "event_" + std::to_string(i);
    Log(severity::kInfo, event, {{"padding", padding}});
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  EXPECT_LT(elapsed, 10s);
  const std::string full_pipe = output.Read();
  EXPECT_EQ(full_pipe.back(), '\n');
  Log(severity::kInfo, "after");
  const std::string drained_pipe = output.Read();
  EXPECT_NE(drained_pipe.find("event=log_lines_dropped lines="),
            std::string::npos);
  EXPECT_NE(drained_pipe.find("event=after"), std::string::npos);
}

TEST(Log, ReportsTheNumberOfSuppressedLinesOncePerSecond) {
  const unread_stdout output;
  OpenLog("radishyardd", severity::kInfo, "-");
  for (uint32_t i = 0; i < kMaxLinesPerEventPerSecond + 25; ++i)
    Log(severity::kInfo, "opening", {{"n", uint64_t{i}}});
  std::this_thread::sleep_for(1100ms);
  Log(severity::kInfo, "opening");
  const std::string text = output.Read();
  EXPECT_NE(text.find("event=log_lines_suppressed of=opening lines="),
            std::string::npos);
  const auto lines = std::count(text.begin(), text.end(), '\n');
  EXPECT_LE(lines, 2 * kMaxLinesPerEventPerSecond + 2);
}

}  // namespace
}  // namespace radishyard
