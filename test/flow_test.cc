// Tests the flow table, the cache of flows to upstreams, and the encoding of
// flow batches.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "flow/flow_batch.h"
#include "flow/flow_table.h"
#include "flow/flow_upstream_cache.h"

namespace radishyard {
namespace {

flow_key MakeKey(uint32_t n) {
  return {{0x0a010000 + n / 50000, static_cast<uint16_t>(1024 + n % 50000)},
          {0x0a140001, 7000},
          protocol::kTcp};
}

TEST(FlowTable, KeepsSlotsWhileOtherFlowsComeAndGo) {
  flow_table flows;
  std::mt19937 random(7);
  std::map<uint32_t, uint32_t> slot_of;
  for (int i = 0; i < 100000; ++i) {
    const uint32_t n = random() % 5000;
    const auto found = slot_of.find(n);
    if (found == slot_of.end()) {
      slot_of[n] = flows.Insert(MakeKey(n));
    } else {
      ASSERT_EQ(flows.Find(MakeKey(n)), found->second);
      flows.Erase(found->second);
      slot_of.erase(found);
    }
  }
  EXPECT_EQ(flows.size(), slot_of.size());
  for (const auto& [n, slot] : slot_of)
    EXPECT_EQ(flows.At(slot).key, MakeKey(n));
}

TEST(FlowUpstreamCache, KeepsRecentEntriesAndReplacesTheOldest) {
  flow_upstream_cache cache(1024);
  for (uint32_t n = 0; n < 100000; ++n) cache.Put(MakeKey(n), n + 1, n);
  uint32_t kept = 0;
  for (uint32_t n = 99000; n < 100000; ++n) {
    const uint32_t upstream = cache.Get(MakeKey(n));
    if (upstream == n + 1) ++kept;
  }
  EXPECT_GT(kept, 700U);
  cache.Remove(MakeKey(99999));
  EXPECT_EQ(cache.Get(MakeKey(99999)), 0U);
}

flow_batch MakeRandomBatch(uint32_t count) {
  std::mt19937 random(11);
  flow_batch batch;
  for (uint32_t n = 0; n < count; ++n) {
    flow_entry e{MakeKey(random() % 1000000),
                 static_cast<uint32_t>(0x0a1e0101 + random() % 14)};
    if (random() % 2 == 0) e.kind = port_kind::kRequest;
    batch.flows.push_back(e);
    if (n % 8 == 0) batch.digests.push_back(random());
  }
  return batch;
}

TEST(FlowBatch, DecodesWhatItEncodes) {
  flow_batch batch = MakeRandomBatch(5000);
  failure why;
  auto decoded = DecodeFlows(EncodeFlows(batch), why);
  ASSERT_TRUE(decoded);
  for (flow_batch* b : {&batch, &*decoded}) {
    std::ranges::sort(b->flows);
    std::ranges::sort(b->digests);
  }
  EXPECT_EQ(*decoded, batch);
}

TEST(FlowBatch, MutatedBatchesNeverCrash) {
  const std::vector<uint8_t> encoded = EncodeFlows(MakeRandomBatch(50));
  std::mt19937 random(13);
  for (int round = 0; round < 50000; ++round) {
    std::vector<uint8_t> mutated = encoded;
    mutated.resize(random() % (encoded.size() + 1));
    if (!mutated.empty())
      mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    failure why;
    DecodeFlows(mutated, why);
  }
}

}  // namespace
}  // namespace radishyard
