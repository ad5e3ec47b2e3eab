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
    const std::map<pool_name, pool_ownership>& ownerships, time_point now) {
  for (const pool_name& name : pools_to_hand_over) {
    const auto ownership = ownerships.find(name);
    if (ownership == ownerships.end() || ownership->second.owner == self_)
      continue;
    const auto existing = outgoing_.find(name);
    if (existing != outgoing_.end() &&
        existing->second.ownership.owner == ownership->second.owner)
      continue;
    outgoing_[name] = {.ownership = ownership->second, .started_at = now};
    Log(severity::kInfo, "handover_begun",
        {{"service", name.service},
         {"domain", name.domain},
         {"to", ownership->second.owner.name}});
    handlers_.export_flows(name, [this, name, ownership = ownership->second](
                                     const flow_batch& batch) {
      OnExport(name, ownership, batch);
    });
  }
}

void handover_manager::OnExport(const pool_name& name,
                                const pool_ownership& ownership,
                                const flow_batch& batch) {
  const auto found = outgoing_.find(name);
  if (found == outgoing_.end() || found->second.ownership != ownership) return;
  found->second.chunks = SplitIntoChunks(batch);
  found->second.flow_count = batch.flows.size();
}

void handover_manager::Tick(time_point now) {
  for (auto& [name, handover] : outgoing_) {
    if (!handover.chunks.empty() && now - handover.sent_at >= kRetransmitAfter)
      SendChunk(name, handover, now);
  }
}

void handover_manager::SendChunk(const pool_name& name,
                                 outgoing_handover& handover, time_point now) {
  handover_chunk chunk{
      name.domain,
      name.service,
      handover.ownership.epoch,
      handover.unacknowledged_chunk,
      handover.unacknowledged_chunk + 1 == handover.chunks.size(),
      handover.chunks[handover.unacknowledged_chunk]};
  handover.sent_at = now;
  handlers_.send(handover.ownership.owner, chunk);
}

void handover_manager::ApplyChunk(
    const member_id& from, const handover_chunk& chunk,
    const std::optional<pool_ownership>& ownership) {
  if (!ownership || ownership->owner != self_ || ownership->epoch < chunk.epoch)
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
  const auto found = outgoing_.find(name);
  if (found == outgoing_.end()) return;
  outgoing_handover& handover = found->second;
  if (ack.epoch != handover.ownership.epoch ||
      ack.index != handover.unacknowledged_chunk || handover.chunks.empty())
    return;
  ++handover.unacknowledged_chunk;
  if (handover.unacknowledged_chunk < handover.chunks.size()) {
    SendChunk(name, handover, now);
    return;
  }
  Finish(name, handover, now);
  outgoing_.erase(found);
}

void handover_manager::Finish(const pool_name& name,
                              const outgoing_handover& handover,
                              time_point now) {
  uint64_t bytes = 0;
  for (const byte_blob& chunk : handover.chunks) bytes += chunk.size();
  ++statistics_.pools;
  statistics_.flows += handover.flow_count;
  statistics_.bytes += bytes;
  statistics_.longest =
      std::max(statistics_.longest, now - handover.started_at);
  Log(severity::kInfo, "handover_finished",
      {{"service", name.service},
       {"domain", name.domain},
       {"to", handover.ownership.owner.name},
       {"flows", handover.flow_count},
       {"bytes", bytes},
       {"ms", static_cast<uint64_t>(ToMs(now - handover.started_at))}});
  handlers_.remove_flows(name);
}

bool handover_manager::IsComplete(const pool_name& name,
                                  uint64_t since_epoch) const {
  const auto found = completed_epochs_.find(name);
  return found != completed_epochs_.end() && found->second >= since_epoch;
}

}  // namespace radishyard
