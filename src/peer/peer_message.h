// The messages between balancers, as plain values. peer_codec.h defines their
// encoding.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "direct/forward/silence_message.h"
#include "direct/load/load_message.h"
#include "direct/start_limit/grant_message.h"
#include "direct/view/view_message.h"
#include "roster/domain_summary.h"
#include "roster/roster.h"
#include "table/service_table.h"

namespace radishyard {

/// \brief Bytes that this module carries without decoding them.
using byte_blob = std::vector<uint8_t>;

/// \brief The first message of each end of a link; it names the sender.
struct hello {
  member self;
  auto operator<=>(const hello&) const = default;
};

/// \brief The highest roster epoch of a domain that the sender has received.
struct domain_epoch {
  std::string domain;
  uint64_t epoch = 0;
  auto operator<=>(const domain_epoch&) const = default;
};

/// \brief Exact counts of one upstream, kept by the owner of its pool.
struct upstream_usage {
  uint32_t address = 0;
  uint32_t connections = 0;  ///< Open flows.
  uint32_t slots = 0;        ///< Requests in progress.
  auto operator<=>(const upstream_usage&) const = default;
};

/// \brief The load of a pool that the sender owns, as a difference from the
/// previous heartbeat on the same link.
/// \sa ComputePoolDelta, ApplyPoolDelta
struct pool_delta {
  std::string service;
  std::string domain;
  bool full = false;  ///< `counts` lists all upstreams, not only those whose
                      ///< counts have changed.
  std::vector<upstream_usage> counts;
  uint32_t queue_length = 0;  ///< Openings that wait for an upstream.
  uint32_t free_slots = 0;
  auto operator<=>(const pool_delta&) const = default;
};

/// \brief Sent to each peer at a fixed interval. The peer replies with a
/// heartbeat_ack.
struct heartbeat {
  member_id sender;
  uint64_t sequence = 0;  ///< Increases by one with each heartbeat of a link.
  uint64_t sent_ms = 0;   ///< Send time on the sender's clock, in milliseconds;
                          ///< opaque to the receiver.
  std::vector<domain_epoch> epochs;
  uint64_t table_digest = 0;  ///< \sa ComputeTableDigest(const service_table&)
  std::vector<pool_delta> loads;
  /// The summary of the sender's domain, if the sender is one of its delegates,
  /// and the summaries of other domains that the sender has received.
  std::vector<domain_summary> summaries;
  uint64_t evacuation_digest = 0;  ///< \sa ComputeEvacuationDigest
  auto operator<=>(const heartbeat&) const = default;
  static constexpr size_t kRequiredFields = 7;
};

/// \brief Reply to a heartbeat. A pool owner renews its lease by the replies of
/// its successors.
struct heartbeat_ack {
  member_id sender;
  uint64_t sequence = 0;  ///< Copied from the heartbeat.
  uint64_t sent_ms = 0;   ///< Copied from the heartbeat.
  /// Epochs of the domains in which the sender of the heartbeat owns pools.
  std::vector<domain_epoch> epochs;
  auto operator<=>(const heartbeat_ack&) const = default;
};

/// \brief Names and versions of all services in the sender's table, and of all
/// evacuations by domain. Sent when the digests of two balancers differ.
struct table_digest {
  std::vector<service_version> services;
  std::vector<service_version> evacuations;
  auto operator<=>(const table_digest&) const = default;
  static constexpr size_t kRequiredFields = 1;
};

/// \brief One service or evacuation in its stored form.
struct table_record {
  std::string value;  ///< JSON text.
  uint64_t version = 0;
  std::string edit_id;
  auto operator<=>(const table_record&) const = default;
};

/// \brief Reply to a table_digest: the records that its sender lacks or has in
/// an older version. Also sent unrequested, to pass on a new record.
struct table_records {
  std::vector<table_record> records;
  std::vector<table_record> evacuations;
  auto operator<=>(const table_records&) const = default;
  static constexpr size_t kRequiredFields = 1;
};

/// \brief The roster of a domain in its stored form.
struct roster_record {
  std::string domain;
  uint64_t store_version = 0;
  std::string value;  ///< JSON text.
  auto operator<=>(const roster_record&) const = default;
};

/// \brief A part of a pool's flow table, sent to the next owner of the pool.
struct handover_chunk {
  std::string domain;
  std::string service;
  uint64_t epoch = 0;  ///< Epoch of the roster that names the next owner.
  uint32_t index = 0;  ///< Position among the chunks of this handover, from 0.
  bool last = false;
  byte_blob flows;
  auto operator<=>(const handover_chunk&) const = default;
};

/// \brief Acknowledges a handover_chunk; its sender may then send the next one.
struct handover_ack {
  std::string domain;
  std::string service;
  uint64_t epoch = 0;
  uint32_t index = 0;
  auto operator<=>(const handover_ack&) const = default;
};

/// \brief A batch of flows with their upstreams. The owner of a pool sends it
/// to the balancers that may take the pool over.
struct standby_flows {
  std::string domain;
  std::string service;
  byte_blob flows;
  auto operator<=>(const standby_flows&) const = default;
};

/// \brief Any message. The index of an alternative plus one is its type on the
/// wire, so new alternatives are only appended.
using peer_message =
    std::variant<hello, heartbeat, heartbeat_ack, table_digest, table_records,
                 roster_record, handover_chunk, handover_ack, standby_flows,
                 view_report, snapshot_request, view_snapshot, silence_notice,
                 load_notice, grant_request, grant_reply>;

}  // namespace radishyard
