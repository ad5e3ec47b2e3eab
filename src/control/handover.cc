// Sends and receives the chunks of handovers, with acknowledgements and
// retransmissions.
#include "control/handover.h"

#include <algorithm>

#include "observe/log.h"

namespace radishyard {
namespace {

constexpr size_t kFlowsPerChunk = 4000;
constexpr duration kRetransmitAfter = 250ms;

std::vector<byte_blob> SplitIntoChunks(const flow_batch& batch) {
  std::vector<byte_blob> chunks;
  flow_batch current;
  current.digests = batch.digests;
  for (const flow_entry& entry : batch.flows) {
    current.flows.push_back(entry);
    if (current.flows.size() < kFlowsPerChunk) continue;
    chunks.push_back(EncodeFlows(std::exchange(current, {})));
  }
  chunks.push_back(EncodeFlows(std::move(current)));
  return chunks;
}

}  // namespace

void handover_manager::Begin(
    const std::vector<pool_name>& pools_to_hand_over,
    const std::map<pool_name, pool_location>& locations, time_point now) {
  for (const pool_name& name : pools_to_hand_over) {
    const auto location = locations.find(name);
    if (location == locations.end() || location->second.owner == self_)
      continue;
    const auto existing = transfers_.find(name);
    if (existing != transfers_.end() &&
        existing->second.location.owner == location->second.owner)
      continue;
    transfers_[name] = {.location = location->second, .started_at = now};
    Log(severity::kInfo, "handover_begun",
        {{"service", name.service},
         {"domain", name.domain},
         {"to", location->second.owner.name}});
    handlers_.export_flows(name, [this, name, location = location->second](
                                     const flow_batch& batch) {
      OnExport(name, location, batch);
    });
  }
}

void handover_manager::OnExport(const pool_name& name,
                                const pool_location& location,
                                const flow_batch& batch) {
  const auto found = transfers_.find(name);
  if (found == transfers_.end() || found->second.location != location) return;
  found->second.chunks = SplitIntoChunks(batch);
  found->second.flows = batch.flows.size();
}

void handover_manager::Tick(time_point now) {
  for (auto& [name, transfer] : transfers_) {
    if (!transfer.chunks.empty() && now - transfer.sent_at >= kRetransmitAfter)
      SendNext(name, transfer, now);
  }
}

void handover_manager::SendNext(const pool_name& name,
                                outgoing_transfer& transfer, time_point now) {
  handover_chunk chunk{name.domain,
                       name.service,
                       transfer.location.epoch,
                       transfer.next,
                       transfer.next + 1 == transfer.chunks.size(),
                       transfer.chunks[transfer.next]};
  transfer.sent_at = now;
  handlers_.send(transfer.location.owner, chunk);
}

void handover_manager::ApplyChunk(
    const member_id& from, const handover_chunk& chunk,
    const std::optional<pool_location>& location) {
  if (!location || location->owner != self_ || location->epoch < chunk.epoch)
    return;  // The sender retransmits the chunk.
  const pool_name name{chunk.service, chunk.domain};
  failure why;
  auto batch = DecodeFlows(chunk.flows, why);
  if (!batch) {
    Log(severity::kWarn, "handover_malformed",
        {{"from", from.name}, {"reason", why.text}});
    return;
  }
  handlers_.import_flows(name, std::move(*batch));
  if (chunk.last)
    completed_epochs_[name] = std::max(completed_epochs_[name], chunk.epoch);
  handlers_.send(from, handover_ack{chunk.domain, chunk.service, chunk.epoch,
                                    chunk.index});
}

void handover_manager::ApplyAck(const handover_ack& ack, time_point now) {
  const pool_name name{ack.service, ack.domain};
  const auto found = transfers_.find(name);
  if (found == transfers_.end()) return;
  outgoing_transfer& transfer = found->second;
  if (ack.epoch != transfer.location.epoch || ack.index != transfer.next ||
      transfer.chunks.empty())
    return;
  ++transfer.next;
  if (transfer.next < transfer.chunks.size()) {
    SendNext(name, transfer, now);
    return;
  }
  Finish(name, transfer, now);
  transfers_.erase(found);
}

void handover_manager::Finish(const pool_name& name,
                              const outgoing_transfer& transfer,
                              time_point now) {
  uint64_t bytes = 0;
  for (const byte_blob& chunk : transfer.chunks) bytes += chunk.size();
  ++totals_.pools;
  totals_.flows += transfer.flows;
  totals_.bytes += bytes;
  totals_.longest = std::max(totals_.longest, now - transfer.started_at);
  Log(severity::kInfo, "handover_finished",
      {{"service", name.service},
       {"domain", name.domain},
       {"to", transfer.location.owner.name},
       {"flows", transfer.flows},
       {"bytes", bytes},
       {"ms", static_cast<uint64_t>(ToMs(now - transfer.started_at))}});
  handlers_.remove_flows(name);
}

bool handover_manager::IsComplete(const pool_name& name,
                                  uint64_t since_epoch) const {
  const auto found = completed_epochs_.find(name);
  return found != completed_epochs_.end() && found->second >= since_epoch;
}

}  // namespace radishyard
