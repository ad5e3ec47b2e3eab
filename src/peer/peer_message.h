// The messages between balancers, as plain values. How they look on the wire is
// peer_codec's matter.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "direct/view_message.h"
#include "roster/domain_summary.h"
#include "roster/roster.h"
#include "table/service_table.h"

namespace radishyard {

/// \brief Bytes that only the sending and receiving module understand.
using byte_blob = std::vector<uint8_t>;

/// \brief First message of both ends of a link: who speaks.
struct hello {
  member self;
  auto operator<=>(const hello&) const = default;
};

/// \brief Highest roster epoch that the sender has seen of a domain.
struct domain_epoch {
  std::string domain;
  uint64_t epoch = 0;
  auto operator<=>(const domain_epoch&) const = default;
};

/// \brief Exact counts of one upstream at its owner.
struct upstream_usage {
  uint32_t address = 0;
  uint32_t connections = 0;  ///< Open flows.
  uint32_t slots = 0;        ///< Requests in progress.
  auto operator<=>(const upstream_usage&) const = default;
};

/// \brief Load of a pool that the sender owns, as change since the heartbeat
/// before it on the same link. \sa ComputePoolDelta, ApplyPoolDelta
struct pool_delta {
  std::string service;
  std::string domain;
  bool full = false;  ///< `counts` holds all upstreams, not only changed ones.
  std::vector<upstream_usage> counts;
  uint32_t queue_length = 0;  ///< Openings that wait.
  uint32_t free_slots = 0;
  auto operator<=>(const pool_delta&) const = default;
};

/// \brief Sent at a fixed interval to each peer; asks for a heartbeat_ack.
struct heartbeat {
  member_id sender;
  uint64_t sequence = 0;  ///< Rises by one with each heartbeat of a link.
  uint64_t sent_ms = 0;   ///< Sender's clock; opaque to the receiver.
  std::vector<domain_epoch> epochs;
  uint64_t table_digest = 0;  ///< \sa ComputeTableDigest(const service_table&)
  std::vector<pool_delta> loads;
  std::vector<domain_summary> summaries;  ///< Of the sender's domain and, to
                                          ///< members of it, of the others.
  auto operator<=>(const heartbeat&) const = default;
};

/// \brief Answer to a heartbeat. The owner of a pool holds its lease by it.
struct heartbeat_ack {
  member_id sender;
  uint64_t sequence = 0;  ///< As in the heartbeat.
  uint64_t sent_ms = 0;   ///< As in the heartbeat.
  std::vector<domain_epoch>
      epochs;  ///< Of domains in which the asker owns pools.
  auto operator<=>(const heartbeat_ack&) const = default;
};

/// \brief Names and versions of all services that the sender holds. Sent when
/// the digests of two balancers differ.
struct table_digest {
  std::vector<service_version> services;
  auto operator<=>(const table_digest&) const = default;
};

/// \brief One service as the store holds it.
struct table_record {
  std::string value;  ///< JSON text.
  uint64_t version = 0;
  std::string edit_id;
  auto operator<=>(const table_record&) const = default;
};

/// \brief Records that the receiver lacks; answers a table_digest.
struct table_records {
  std::vector<table_record> records;
  auto operator<=>(const table_records&) const = default;
};

/// \brief A domain's roster as the store holds it.
struct roster_record {
  std::string domain;
  uint64_t store_version = 0;
  std::string value;  ///< JSON text.
  auto operator<=>(const roster_record&) const = default;
};

/// \brief A part of a pool's flow table on its way to the next owner.
struct handover_chunk {
  std::string domain;
  std::string service;
  uint64_t epoch = 0;  ///< Epoch that names the next owner.
  uint32_t index = 0;  ///< 0, 1, 2 and so on.
  bool last = false;
  byte_blob flows;
  auto operator<=>(const handover_chunk&) const = default;
};

/// \brief Tells that a chunk was taken up; the sender may then send the next.
struct handover_ack {
  std::string domain;
  std::string service;
  uint64_t epoch = 0;
  uint32_t index = 0;
  auto operator<=>(const handover_ack&) const = default;
};

/// \brief A batch of flows with their upstreams, for the standby of a pool.
struct standby_flows {
  std::string domain;
  std::string service;
  byte_blob flows;
  auto operator<=>(const standby_flows&) const = default;
};

/// \brief Any message. Its index here plus one is its type on the wire, so new
/// alternatives are only appended.
using peer_message =
    std::variant<hello, heartbeat, heartbeat_ack, table_digest, table_records,
                 roster_record, handover_chunk, handover_ack, standby_flows,
                 view_report, snapshot_request, view_snapshot>;

}  // namespace radishyard
