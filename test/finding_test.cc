// Findings keep their order and print one line each.
#include "base/finding.h"

#include <gtest/gtest.h>

namespace radishyard {
namespace {

TEST(Findings, PrintOneLineEach) {
  findings found;
  found.Add("", "is no object");
  found.Add("/upstreams/0/weight", "is negative");
  EXPECT_EQ(found.Text(),
            "/: is no object\n/upstreams/0/weight: is negative\n");
}

}  // namespace
}  // namespace radishyard
