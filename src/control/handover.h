// Handover of a pool's flows from the balancer that served the pool to the one
// that serves it now.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "flow/flow_batch.h"
#include "peer/peer_message.h"
#include "traffic/routing_view.h"

namespace radishyard {

/// \brief Functions that a handover_manager calls to reach the traffic threads
/// and the other balancers.
struct handover_handlers {
  /// Requests the flows of a pool from the traffic threads. The callback
  /// receives them later, on the control thread.
  std::function<void(const pool_name&, std::function<void(flow_batch)>)>
      export_flows;
  /// Adds flows that were received to the flows of the traffic threads.
  std::function<void(const pool_name&, flow_batch)> import_flows;
  /// Removes the flows of a pool after their handover.
  std::function<void(const pool_name&)> remove_flows;
  /// Sends a message to a balancer. Returns false if it was not queued for
  /// sending; see peer_hub::Send().
  std::function<bool(const member_id& to, const peer_message&)> send;
};

/// \brief Owner of a pool according to this balancer's latest roster.
struct pool_ownership {
  member_id owner;
  uint64_t epoch = 0;  ///< Epoch of the domain's roster.
  auto operator<=>(const pool_ownership&) const = default;
};

/// \brief Statistics of finished outgoing handovers, for status and metrics.
struct handover_statistics {
  uint64_t pools = 0;  ///< Number of handovers, one pool each.
  uint64_t flows = 0;  ///< Flows handed over.
  uint64_t bytes = 0;  ///< Encoded size of these flows.
  duration longest{};  ///< Duration of the longest handover.
  auto operator<=>(const handover_statistics&) const = default;
};

/// \brief All handovers of one balancer, outgoing and incoming.
///
/// The next chunk is sent after the acknowledgement of the previous one, so
/// that a pool with many flows does not delay other messages on the link. A
/// chunk without an acknowledgement is retransmitted.
class handover_manager {
 public:
  handover_manager(const member_id& self, handover_handlers handlers)
      : self_(self), handlers_(std::move(handlers)) {}

  /// \brief Starts the handover of each pool to its owner, unless this balancer
  /// is the owner or a handover to that owner is in progress.
  /// \param pools_to_hand_over pools of which flows remain here although
  /// another balancer serves them.
  /// \param ownerships owners of all pools. A pool without one is skipped.
  void Begin(const std::vector<pool_name>& pools_to_hand_over,
             const std::map<pool_name, pool_ownership>& ownerships,
             time_point now);

  /// \brief Retransmits chunks whose acknowledgement is overdue.
  void Tick(time_point now);

  /// \brief Applies and acknowledges a chunk that was received. The chunk is
  /// dropped, and later retransmitted by the sender, while this balancer's
  /// roster names another owner or is older than the sender's.
  /// \param ownership owner of the pool; nothing if no roster lists the pool.
  void ApplyChunk(const member_id& from, const handover_chunk& chunk,
                  const std::optional<pool_ownership>& ownership);
  /// \brief Sends the next chunk, or finishes the handover after the last one.
  void ApplyAck(const handover_ack& ack, time_point now);

  /// \brief True if the previous owner has handed over all flows of the pool.
  /// \param since_epoch the epoch since which this balancer owns the pool. An
  /// earlier handover does not count.
  bool IsComplete(const pool_name& name, uint64_t since_epoch) const;

  /// \brief True if no outgoing handover is in progress.
  bool HasNoOutgoing() const { return outgoing_.empty(); }
  const handover_statistics& statistics() const { return statistics_; }

 private:
  struct outgoing_handover {
    pool_ownership ownership;
    std::vector<byte_blob> chunks;  // Empty until the export is received.
    // Index of the first chunk without an acknowledgement.
    uint32_t unacknowledged_chunk = 0;
    size_t flow_count = 0;
    time_point started_at;
    time_point sent_at{};
  };

  void OnExport(const pool_name& name, const pool_ownership& ownership,
                const flow_batch& batch);
  void SendChunk(const pool_name& name, outgoing_handover& handover,
                 time_point now);
  void Finish(const pool_name& name, const outgoing_handover& handover,
              time_point now);

  member_id self_;
  handover_handlers handlers_;
  std::map<pool_name, outgoing_handover> outgoing_;
  // Highest epoch of the complete incoming handovers of each pool.
  std::map<pool_name, uint64_t> completed_epochs_;
  handover_statistics statistics_;
};

}  // namespace radishyard
