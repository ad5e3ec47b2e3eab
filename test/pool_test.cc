// Tests of a pool's decisions.
#include "radishyard/pool.h"

#include <gtest/gtest.h>

namespace radishyard {
namespace {

using what = open_decision::kind;

service TableOf(uint32_t rows, uint32_t slots) {
  service s{.name = "survey", .address = 1};
  for (uint32_t i = 1; i <= rows; ++i)
    s.upstreams.push_back({"u" + std::to_string(i), i, "rennes", 10, slots,
                           2000, upstream_state::kActive});
  return s;
}

open_request Request(uint32_t caller, uint64_t token,
                     port_kind kind = port_kind::kRequest) {
  open_request r;
  r.key.caller = {caller, 4000};
  r.kind = kind;
  r.token = token;
  return r;
}

TEST(Pool, SlotLimitsQueueAndFreeSlots) {
  pool_state pool;
  Configure(pool, TableOf(2, 2), "rennes", AtMs(0));
  std::vector<open_decision> placed;
  for (uint64_t i = 0; i < 4; ++i)
    placed.push_back(Open(pool, Request(1, i), AtMs(1)));
  for (const auto& d : placed) EXPECT_EQ(d.what, what::kPlaced);
  EXPECT_EQ(Load(pool, AtMs(1)).free_slots, 0U);
  EXPECT_EQ(Open(pool, Request(2, 9), AtMs(1)).what, what::kQueued);
  EXPECT_TRUE(Poll(pool, AtMs(2)).empty());
  Closed(pool, Held(Request(1, 0), placed[0].upstream), flow_end::kCompleted,
         3ms, AtMs(4));
  auto late = Poll(pool, AtMs(4));
  ASSERT_EQ(late.size(), 1U);
  EXPECT_EQ(late[0].token, 9U);
  EXPECT_EQ(late[0].what, what::kPlaced);
}

}  // namespace
}  // namespace radishyard
