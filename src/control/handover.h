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

/// \brief Functions of the rest of the balancer that a handover calls.
struct handover_handlers {
  /// Requests the flows of a pool from the traffic threads. They call the
  /// handler later, on the control thread.
  std::function<void(const pool_name&, std::function<void(flow_batch)>)>
      export_flows;
  std::function<void(const pool_name&, flow_batch)> import_flows;
  /// Removes the flows of a pool after their handover.
  std::function<void(const pool_name&)> remove_flows;
  std::function<bool(const member_id& to, const peer_message&)> send;
};

/// \brief Owner of a pool by the latest roster that this balancer has.
struct pool_location {
  member_id owner;
  uint64_t epoch = 0;  ///< Epoch of the domain's roster.
  auto operator<=>(const pool_location&) const = default;
};

/// \brief Counters of finished handovers, for status and metrics.
struct handover_totals {
  uint64_t pools = 0;
  uint64_t flows = 0;
  uint64_t bytes = 0;
  duration longest{};
  auto operator<=>(const handover_totals&) const = default;
};

/// \brief All handovers of one balancer, outgoing and incoming.
///
/// The next chunk is sent after the acknowledgement of the previous one, so
/// that a large flow table does not fill the link. A chunk without an
/// acknowledgement is retransmitted.
class handover_manager {
 public:
  handover_manager(const member_id& self, handover_handlers handlers)
      : self_(self), handlers_(std::move(handlers)) {}

  /// \brief Starts handovers, except of pools that this balancer owns or
  /// already hands over to the same owner. \param pools_to_hand_over pools of
  /// which flows remain here although another balancer serves them.
  void Begin(const std::vector<pool_name>& pools_to_hand_over,
             const std::map<pool_name, pool_location>& locations,
             time_point now);

  /// \brief Retransmits chunks whose acknowledgement is overdue.
  void Tick(time_point now);

  /// \brief Applies a chunk that was received. It is dropped, and retransmitted
  /// later, until this balancer is the pool's owner by its own roster.
  /// \param location of the pool by the latest roster that this balancer has.
  void ApplyChunk(const member_id& from, const handover_chunk& chunk,
                  const std::optional<pool_location>& location);
  /// \brief Sends the next chunk, or finishes the handover after the last one.
  void ApplyAck(const handover_ack& ack, time_point now);

  /// \brief True if the previous owner has handed over all flows of the pool at
  /// epoch `since_epoch` or a later one.
  bool IsComplete(const pool_name& name, uint64_t since_epoch) const;

  bool IsIdle() const { return transfers_.empty(); }
  const handover_totals& totals() const { return totals_; }

 private:
  struct outgoing_transfer {
    pool_location location;
    std::vector<byte_blob> chunks;  // Empty until the export is received.
    uint32_t next = 0;              // Index of the chunk without an
                                    // acknowledgement.
    size_t flows = 0;
    time_point started_at;
    time_point sent_at{};
  };

  void OnExport(const pool_name& name, const pool_location& location,
                const flow_batch& batch);
  void SendNext(const pool_name& name, outgoing_transfer& transfer,
                time_point now);
  void Finish(const pool_name& name, const outgoing_transfer& transfer,
              time_point now);

  member_id self_;
  handover_handlers handlers_;
  std::map<pool_name, outgoing_transfer> transfers_;
  std::map<pool_name, uint64_t>
      completed_epochs_;  // Epoch of the last chunk received.
  handover_totals totals_;
};

}  // namespace radishyard
