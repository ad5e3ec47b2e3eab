// Chunks, acknowledgements and repetition of hand-overs.
#include "control/handover.h"

#include <algorithm>

#include "observe/log.h"

namespace radishyard {
namespace {

constexpr size_t kFlowsPerChunk = 4000;
constexpr duration kRepeatAfter = 250ms;

std::vector<byte_blob> Chunks(const flow_batch& batch) {
  std::vector<byte_blob> chunks;
  flow_batch part;
  part.digests = batch.digests;
  for (const flow_entry& entry : batch.flows) {
    part.flows.push_back(entry);
    if (part.flows.size() < kFlowsPerChunk) continue;
    chunks.push_back(EncodeFlows(std::exchange(part, {})));
  }
  chunks.push_back(EncodeFlows(std::move(part)));
  return chunks;
}

}  // namespace

void handover_desk::Begin(const std::vector<pool_name>& pools_to_hand_over,
                          const std::map<pool_name, pool_seat>& seats,
                          time_point now) {
  for (const pool_name& name : pools_to_hand_over) {
    const auto seat = seats.find(name);
    if (seat == seats.end() || seat->second.owner == self_) continue;
    const auto running = outgoing_.find(name);
    if (running != outgoing_.end() &&
        running->second.seat.owner == seat->second.owner)
      continue;
    outgoing_[name] = {.seat = seat->second, .began = now};
    Log(severity::kInfo, "handover_begun",
        {{"service", name.service},
         {"domain", name.domain},
         {"to", seat->second.owner.name}});
    handlers_.export_flows(
        name, [this, name, seat = seat->second](const flow_batch& batch) {
          TakeExport(name, seat, batch);
        });
  }
}

void handover_desk::TakeExport(const pool_name& name, const pool_seat& seat,
                               const flow_batch& batch) {
  const auto found = outgoing_.find(name);
  if (found == outgoing_.end() || found->second.seat != seat) return;
  found->second.chunks = Chunks(batch);
  found->second.flows = batch.flows.size();
}

void handover_desk::Tick(time_point now) {
  for (auto& [name, out] : outgoing_) {
    if (!out.chunks.empty() && now - out.sent_at >= kRepeatAfter)
      SendNext(name, out, now);
  }
}

void handover_desk::SendNext(const pool_name& name, outgoing& out,
                             time_point now) {
  handover_chunk chunk{name.domain,
                       name.service,
                       out.seat.epoch,
                       out.next,
                       out.next + 1 == out.chunks.size(),
                       out.chunks[out.next]};
  out.sent_at = now;
  handlers_.send(out.seat.owner, chunk);
}

void handover_desk::TakeChunk(const member_id& from,
                              const handover_chunk& chunk,
                              const std::optional<pool_seat>& seat) {
  if (!seat || seat->owner != self_ || seat->epoch < chunk.epoch)
    return;  // It will be sent again.
  const pool_name name{chunk.service, chunk.domain};
  failure why;
  auto batch = DecodeFlows(chunk.flows, why);
  if (!batch) {
    Log(severity::kWarn, "handover_malformed",
        {{"from", from.name}, {"reason", why.text}});
    return;
  }
  handlers_.import_flows(name, std::move(*batch));
  if (chunk.last) complete_[name] = std::max(complete_[name], chunk.epoch);
  handlers_.send(from, handover_ack{chunk.domain, chunk.service, chunk.epoch,
                                    chunk.index});
}

void handover_desk::TakeAck(const handover_ack& ack, time_point now) {
  const pool_name name{ack.service, ack.domain};
  const auto found = outgoing_.find(name);
  if (found == outgoing_.end()) return;
  outgoing& out = found->second;
  if (ack.epoch != out.seat.epoch || ack.index != out.next ||
      out.chunks.empty())
    return;
  ++out.next;
  if (out.next < out.chunks.size()) {
    SendNext(name, out, now);
    return;
  }
  Finish(name, out, now);
  outgoing_.erase(found);
}

void handover_desk::Finish(const pool_name& name, const outgoing& out,
                           time_point now) {
  uint64_t bytes = 0;
  for (const byte_blob& chunk : out.chunks) bytes += chunk.size();
  ++totals_.pools;
  totals_.flows += out.flows;
  totals_.bytes += bytes;
  totals_.longest = std::max(totals_.longest, now - out.began);
  Log(severity::kInfo, "handover_finished",
      {{"service", name.service},
       {"domain", name.domain},
       {"to", out.seat.owner.name},
       {"flows", out.flows},
       {"bytes", bytes},
       {"ms", static_cast<uint64_t>(ToMs(now - out.began))}});
  handlers_.forget_flows(name);
}

bool handover_desk::IsComplete(const pool_name& name,
                               uint64_t since_epoch) const {
  const auto found = complete_.find(name);
  return found != complete_.end() && found->second >= since_epoch;
}

}  // namespace radishyard
