// Test support for direct server return: a forwarder with a table and
// upstreams, and functions that send it packets from callers.
#pragma once
#include <string>
#include <vector>

#include "direct/forwarder.h"

namespace radishyard::testing_direct {

inline constexpr endpoint kFeedAddress{0xC6336401, 7000};
inline constexpr endpoint kOrderAddress{0xC6336401, 7001};

/// \brief Default names of the service, its failure domain and another domain.
inline constexpr const char* kService = "survey-link";
inline constexpr const char* kLocalDomain = "rennes";
inline constexpr const char* kRemoteDomain = "quimper";

/// \brief An entry whose address and start time are derived from `id`.
inline upstream_entry MakeEntry(upstream_id id,
                                const std::string& domain = kLocalDomain,
                                const std::string& service = kService) {
  return {.id = id,
          .service = service,
          .address = {0x0A000000 + static_cast<uint32_t>(id), 8000},
          .domain = domain,
          .slots = 2,
          .started_unix_ms = static_cast<int64_t>(1000 + id)};
}

/// \brief A table with an idempotent address (kFeedAddress) and a
/// non-idempotent one (kOrderAddress), both of kService.
inline routing_table MakeTable(uint64_t version = 1) {
  routing_table table{.version = version};
  table.addresses.push_back({.address = kFeedAddress,
                             .shares = {{kService, 1}},
                             .retry_class = request_class::kIdempotent});
  table.addresses.push_back({.address = kOrderAddress,
                             .shares = {{kService, 1}},
                             .retry_class = request_class::kNonIdempotent});
  return table;
}

/// \brief A forwarder in kLocalDomain with MakeTable() and `entries`.
struct direct_world {
  explicit direct_world(const std::vector<upstream_entry>& entries) {
    state.domain = kLocalDomain;
    ApplyTable(state, MakeTable());
    ApplyList(entries, AtMs(0));
  }

  /// \brief Applies a list with the next revision.
  std::vector<directory_change> ApplyList(
      const std::vector<upstream_entry>& entries, time_point now) {
    return ApplyUpstreamList(state, {++revision, entries}, now, now);
  }

  /// \brief Sends an opening that the caller has sent `retransmission_count`
  /// times before.
  verdict SendOpening(uint32_t caller, time_point now,
                      uint32_t retransmission_count = 0,
                      const endpoint& to = kFeedAddress) {
    direct_packet p = MakePacket(caller, to);
    p.is_opening = true;
    p.retransmission_count = retransmission_count;
    return RoutePacket(state, p, now);
  }

  /// \brief Sends `length` bytes of data at `sequence`; with a length of 0,
  /// only an acknowledgement.
  verdict SendPacket(uint32_t caller, uint32_t mark, uint32_t sequence,
                     uint16_t length, uint32_t acknowledged, time_point now,
                     const endpoint& to = kFeedAddress) {
    direct_packet p = MakePacket(caller, to);
    p.mark = mark;
    p.sequence = sequence;
    p.length = length;
    p.acknowledged = acknowledged;
    return RoutePacket(state, p, now);
  }

  static direct_packet MakePacket(uint32_t caller, const endpoint& to) {
    direct_packet p;
    p.flow = {{0x64400000 + caller, 4000}, to, protocol::kTcp};
    return p;
  }

  const known_upstream& Upstream(upstream_id id) const {
    return state.directory.upstreams.at(id);
  }

  forwarding_state state;
  uint64_t revision = 0;
};

}  // namespace radishyard::testing_direct
