// Hand-over of a pool's flows from the balancer that served it to the one that
// serves it now.
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

/// \brief What hand-overs need from the rest of the balancer.
struct handover_handlers {
  /// Asks the traffic threads for the pool's flows; the answer comes later on
  /// this thread.
  std::function<void(const pool_name&, std::function<void(flow_batch)>)>
      export_flows;
  std::function<void(const pool_name&, flow_batch)> import_flows;
  /// Drops flows that were handed over.
  std::function<void(const pool_name&)> remove_flows;
  std::function<bool(const member_id& to, const peer_message&)> send;
};

/// \brief Where a pool is served, by the roster as this balancer knows it.
struct pool_location {
  member_id owner;
  uint64_t epoch = 0;  ///< Epoch of the domain's roster.
  auto operator<=>(const pool_location&) const = default;
};

/// \brief Figures of finished hand-overs, for status and metrics.
struct handover_totals {
  uint64_t pools = 0;
  uint64_t flows = 0;
  uint64_t bytes = 0;
  duration longest{};
  auto operator<=>(const handover_totals&) const = default;
};

/// \brief All hand-overs of one balancer, in both directions.
///
/// Chunks go one at a time: the next after the acknowledgement of the one
/// before, so a large table does not fill the link. A chunk without an answer
/// is sent again.
class handover_manager {
 public:
  handover_manager(const member_id& self, handover_handlers handlers)
      : self_(self), handlers_(std::move(handlers)) {}

  /// \brief Pools of which flows remain here although another balancer serves
  /// them.
  void Begin(const std::vector<pool_name>& pools_to_hand_over,
             const std::map<pool_name, pool_location>& locations,
             time_point now);

  void Tick(time_point now);

  /// \brief A chunk arrived. \param seat where this balancer believes the pool
  /// to be served.
  void ApplyChunk(const member_id& from, const handover_chunk& chunk,
                  const std::optional<pool_location>& location);
  void ApplyAck(const handover_ack& ack, time_point now);

  /// \brief True if the previous owner has handed over all flows of the pool at
  /// this epoch or later.
  bool IsComplete(const pool_name& name, uint64_t since_epoch) const;

  bool IsIdle() const { return transfers_.empty(); }
  const handover_totals& totals() const { return totals_; }

 private:
  struct outgoing_transfer {
    pool_location location;
    std::vector<byte_blob> chunks;  // Empty while the export is awaited.
    uint32_t next = 0;              // Chunk that is sent or to be sent.
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
      completed_epochs_;  // Epoch of the last chunk taken.
  handover_totals totals_;
};

}  // namespace radishyard
