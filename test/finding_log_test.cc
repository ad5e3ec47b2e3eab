// Tests which findings are logged when the same faulty input is read again and
// again.
#include "observe/finding_log.h"

#include <gtest/gtest.h>

#include "observe/guard.h"

namespace radishyard {
namespace {

time_point AtSeconds(int64_t s) { return time_point(seconds(s)); }

TEST(FindingLog, SelectsAPersistentFindingOnceAnInterval) {
  finding_log log;
  findings found;
  found.Add("/x-1", "is odd");
  EXPECT_EQ(SelectUnlogged(log, found, AtSeconds(1)).size(), 1U);
  EXPECT_TRUE(SelectUnlogged(log, found, AtSeconds(2)).empty());
  found.Add("/x-2", "is odd");
  EXPECT_EQ(SelectUnlogged(log, found, AtSeconds(3)),
            (std::vector<finding>{{"/x-2", "is odd"}}));
  EXPECT_EQ(SelectUnlogged(log, found, AtSeconds(62)),
            (std::vector<finding>{{"/x-1", "is odd"}}));
}

TEST(FindingLog, IsBounded) {
  finding_log log;
  findings found;
  for (size_t i = 0; i < 3 * kMaxLoggedFindings; ++i)
    found.Add("/" + std::to_string(i), "is odd");
  EXPECT_EQ(SelectUnlogged(log, found, AtSeconds(1)).size(),
            kMaxLoggedFindings);
  EXPECT_EQ(log.logged_at.size(), kMaxLoggedFindings);
}

TEST(Guard, TurnsAnExceptionIntoAResult) {
  EXPECT_TRUE(RunGuarded("test", [] {}));
  EXPECT_FALSE(
      RunGuarded("test", [] { throw std::out_of_range("no element"); }));
}

}  // namespace
}  // namespace radishyard
