// The log's budget, and that it never waits for its reader.
#include "observe/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "observe/log_rate_limit.h"

namespace radishyard {
namespace {

TEST(LogBudget, BoundsTheLinesOfEachEventInASecond) {
  log_budget budget{.lines_per_second = 3};
  EXPECT_TRUE(Renew(budget, AtMs(1000)).empty());
  for (int i = 0; i < 5; ++i) EXPECT_EQ(Admit(budget, "opening"), i < 3);
  EXPECT_TRUE(Admit(budget, "other"));
  EXPECT_TRUE(Renew(budget, AtMs(1999)).empty());
  const std::vector<suppressed_lines> expected{{"opening", 2}};
  EXPECT_EQ(Renew(budget, AtMs(2000)), expected);
  EXPECT_TRUE(Admit(budget, "opening"));
}

/// Standard output replaced by a pipe that nobody reads.
class unread_output {
 public:
  unread_output() {
    EXPECT_EQ(pipe(ends_), 0);
    saved_ = dup(STDOUT_FILENO);
    dup2(ends_[1], STDOUT_FILENO);
  }
  ~unread_output() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    close(ends_[0]);
    close(ends_[1]);
  }
  /// \\brief Everything written so far.
  std::string Read() const {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    for (ssize_t n = 0; (n = read(ends_[0], buffer.data(), buffer.size())) > 0;)
      text.append(buffer.data(), static_cast<size_t>(n));
    return text;
  }

 private:
  int ends_[2]{};
  int saved_ = -1;
};

TEST(Log, NeverWaitsForAReaderThatDoesNotRead) {
  constexpr int kLines = 20'000;  // Several times what a pipe holds.
  const std::string padding(200, 'x');
  const unread_output output;
  OpenLog("radishyardd", severity::kInfo, "-");
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) {
    const std::string event = "event_" + std::to_string(i);
    Log(severity::kInfo, event, {{"padding", padding}});
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  EXPECT_LT(took, 10s);
  const std::string before = output.Read();
  EXPECT_EQ(before.back(), '\n');
  Log(severity::kInfo, "after");
  const std::string after = output.Read();
  EXPECT_NE(after.find("event=log_lines_dropped lines="), std::string::npos);
  EXPECT_NE(after.find("event=after"), std::string::npos);
}

TEST(Log, TellsOnceASecondHowManyLinesItLeftOut) {
  const unread_output output;
  OpenLog("radishyardd", severity::kInfo, "-");
  for (uint32_t i = 0; i < kLinesPerSecond + 25; ++i)
    Log(severity::kInfo, "opening", {{"n", uint64_t{i}}});
  std::this_thread::sleep_for(1100ms);
  Log(severity::kInfo, "opening");
  const std::string text = output.Read();
  EXPECT_NE(text.find("event=log_lines_suppressed of=opening lines="),
            std::string::npos);
  const auto lines = std::count(text.begin(), text.end(), '\n');
  EXPECT_LE(lines, 2 * kLinesPerSecond + 2);
}

}  // namespace
}  // namespace radishyard
