// Batches of flow records that a balancer sends to another: in the handover of
// a pool, and to the standby of a pool.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/failure.h"
#include "flow/flow_record.h"

namespace radishyard {

/// \brief The part of a flow record that is sent to another balancer.
struct flow_entry {
  flow_key key;
  uint32_t upstream = 0;
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  uint8_t flags = 0;  ///< Bits of flow_flag.
  auto operator<=>(const flow_entry&) const = default;
};

/// \brief Flows, and digests of non-idempotent requests that were admitted.
struct flow_batch {
  std::vector<flow_entry> flows;
  std::vector<uint64_t> digests;
  auto operator<=>(const flow_batch&) const = default;
};

/// \brief Encodes a batch.
///
/// Flows are grouped by service port, upstream and the other fields that they
/// share, sorted by caller, and written as differences in a variable-length
/// code. If the caller addresses are close together, this takes about 5 bytes
/// per flow.
std::vector<uint8_t> EncodeFlows(flow_batch batch);

/// \brief Decodes a batch. The flows are in the order of their groups.
/// \param why Set to failure_kind::kInvalid if the batch is malformed.
/// \returns Nothing if the batch is malformed.
std::optional<flow_batch> DecodeFlows(std::span<const uint8_t> bytes,
                                      failure& why);

}  // namespace radishyard
