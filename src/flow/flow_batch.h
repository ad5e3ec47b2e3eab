// Flows in transit between balancers: the hand-over of a pool and the standby's
// witness batches.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/failure.h"
#include "flow/flow_record.h"

namespace radishyard {

/// \brief What a balancer tells another of a flow.
struct flow_entry {
  flow_key key;
  uint32_t upstream = 0;
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  uint8_t flags = 0;  ///< Of flow_flag.
  auto operator<=>(const flow_entry&) const = default;
};

/// \brief Flows and digests of non-idempotent requests.
struct flow_batch {
  std::vector<flow_entry> flows;
  std::vector<uint64_t> digests;
  auto operator<=>(const flow_batch&) const = default;
};

/// \brief Packs a batch: flows are grouped by service port and upstream, sorted
/// by caller, and written as differences in a variable-length code; about 5
/// bytes a flow where callers are dense.
std::vector<uint8_t> EncodeFlows(flow_batch batch);

/// \brief The batch, its flows in the order of the groups; nothing (kInvalid)
/// if malformed.
std::optional<flow_batch> DecodeFlows(std::span<const uint8_t> bytes,
                                      failure& why);

}  // namespace radishyard
