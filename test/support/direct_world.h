// Test support for direct server return: a forwarder with a table and
// upstreams, and functions that send it packets from callers.
#pragma once
#include <string>
#include <vector>

#include "direct/forward/forwarder.h"

namespace radishyard::testing_direct_return {

inline constexpr endpoint kIdempotentAddress{0xC6336401, 7000};
inline constexpr endpoint kNonIdempotentAddress{0xC6336401, 7001};

/// \brief Default names of the service, the failure domain of the forwarder and
/// another failure domain.
inline constexpr const char* kService = "survey-link";
inline constexpr const char* kLocalDomain = "rennes";
inline constexpr const char* kRemoteDomain = "quimper";

/// \brief Makes an entry of the upstream list whose address and start time are
/// derived from `id`.
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

/// \brief Makes a table with two addresses, kIdempotentAddress for idempotent
/// requests and kNonIdempotentAddress for others. All new flows of both are
/// sent to kService.
inline routing_table MakeRoutingTable(uint64_t version = 1) {
  routing_table table{.version = version};
  table.addresses.push_back({.address = kIdempotentAddress,
                             .shares = {{kService, 1}},
                             .retry_class = request_class::kIdempotent});
  table.addresses.push_back({.address = kNonIdempotentAddress,
                             .shares = {{kService, 1}},
                             .retry_class = request_class::kNonIdempotent});
  return table;
}

/// \brief The state of a balancer in kLocalDomain that forwards with direct
/// server return, with MakeRoutingTable() and the upstream list `entries`.
struct direct_world {
  explicit direct_world(const std::vector<upstream_entry>& entries) {
    state.domain = kLocalDomain;
    ApplyTable(state, MakeRoutingTable());
    ApplyList(entries, AtMs(0));
  }

  /// \brief Applies `entries` as the upstream list with the next revision, read
  /// at `now`.
  std::vector<directory_change> ApplyList(
      const std::vector<upstream_entry>& entries, time_point now) {
    return ApplyUpstreamList(state, {{epoch, ++revision}, entries}, now, now);
  }

  /// \brief Sends an opening that the caller has sent `retransmission_count`
  /// times before.
  verdict SendOpening(uint32_t caller_index, time_point now,
                      uint32_t retransmission_count = 0,
                      const endpoint& to = kIdempotentAddress) {
    direct_packet p = MakePacket(caller_index, to);
    p.is_opening = true;
    p.retransmission_count = retransmission_count;
    return RoutePacket(state, p, now);
  }

  /// \brief Sends `length` bytes of data with the TCP sequence number
  /// `sequence`; with a length of 0, only an acknowledgement. `acknowledged` is
  /// the acknowledgement number.
  verdict SendPacket(uint32_t caller_index, uint32_t mark, uint32_t sequence,
                     uint16_t length, uint32_t acknowledged, time_point now,
                     const endpoint& to = kIdempotentAddress) {
    direct_packet p = MakePacket(caller_index, to);
    p.mark = mark;
    p.sequence = sequence;
    p.length = length;
    p.acknowledged = acknowledged;
    return RoutePacket(state, p, now);
  }

  static direct_packet MakePacket(uint32_t caller_index, const endpoint& to) {
    direct_packet p;
    p.flow = {{0x64400000 + caller_index, 4000}, to, protocol::kTcp};
    return p;
  }

  const known_upstream& Upstream(upstream_id id) const {
    return state.directory.upstreams.at(id);
  }

  forwarding_state state;
  uint64_t epoch = 0;  ///< Of the store's revisions.
  uint64_t revision = 0;
};

}  // namespace radishyard::testing_direct_return
