// A forwarder with upstreams and callers for tests of direct server return.
#pragma once
#include <string>
#include <vector>

#include "direct/forwarder.h"

namespace radishyard::testing_direct {

inline constexpr endpoint kFeedAddress{0xC6336401, 7000};
inline constexpr endpoint kOrderAddress{0xC6336401, 7001};

/// \brief Names of the service and failure domains used by default.
inline constexpr const char* kService = "survey-link";
inline constexpr const char* kHome = "rennes";
inline constexpr const char* kAway = "quimper";

inline upstream_entry Entry(upstream_id id, const std::string& domain = kHome,
                            const std::string& service = kService) {
  return {.id = id,
          .service = service,
          .address = {0x0A000000 + static_cast<uint32_t>(id), 8000},
          .domain = domain,
          .slots = 2,
          .started_unix_ms = static_cast<int64_t>(1000 + id)};
}

/// \brief Idempotent feed and non-idempotent orders, both of kService.
inline routing_table Table(uint64_t version = 1) {
  routing_table table{.version = version};
  table.addresses.push_back({.address = kFeedAddress,
                             .shares = {{kService, 1}},
                             .retry_class = request_class::kIdempotent});
  table.addresses.push_back({.address = kOrderAddress,
                             .shares = {{kService, 1}},
                             .retry_class = request_class::kNonIdempotent});
  return table;
}

/// \brief A forwarder of kHome that knows Table() and `entries`.
struct direct_world {
  explicit direct_world(const std::vector<upstream_entry>& entries) {
    state.domain = kHome;
    ApplyTable(state, Table());
    List(entries, AtMs(0));
  }

  std::vector<directory_change> List(const std::vector<upstream_entry>& entries,
                                     time_point now) {
    return ApplyUpstreamList(state, {++revision, entries}, now, now);
  }

  verdict Open(uint32_t caller, time_point now,
               uint32_t retransmission_count = 0,
               const endpoint& to = kFeedAddress) {
    direct_packet p = Packet(caller, to);
    p.is_opening = true;
    p.retransmission_count = retransmission_count;
    return RoutePacket(state, p, now);
  }

  /// \brief Data of `length` bytes at `sequence`, or an acknowledgement alone.
  verdict Send(uint32_t caller, uint32_t mark, uint32_t sequence,
               uint16_t length, uint32_t acknowledged, time_point now,
               const endpoint& to = kFeedAddress) {
    direct_packet p = Packet(caller, to);
    p.mark = mark;
    p.sequence = sequence;
    p.length = length;
    p.acknowledged = acknowledged;
    return RoutePacket(state, p, now);
  }

  static direct_packet Packet(uint32_t caller, const endpoint& to) {
    direct_packet p;
    p.flow = {{0x64400000 + caller, 4000}, to, protocol::kTcp};
    return p;
  }

  const known_upstream& Known(upstream_id id) const {
    return state.directory.upstreams.at(id);
  }

  forwarding_state state;
  uint64_t revision = 0;
};

}  // namespace radishyard::testing_direct
