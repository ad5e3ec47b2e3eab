// Tests the text form of findings: one line for each, in the order added.
#include "base/finding.h"

#include <gtest/gtest.h>

namespace radishyard {
namespace {

TEST(Findings, AreFormattedAsOneLineEach) {
  findings found;
  found.Add("", "is no object");
  found.Add("/upstreams/0/weight", "is negative");
  EXPECT_EQ(found.Text(),
            "/: is no object\n/upstreams/0/weight: is negative\n");
}

}  // namespace
}  // namespace radishyard
