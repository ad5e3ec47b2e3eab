// The state machine follows RFC 793 for conforming peers. The retransmission
// timeout doubles from 200 ms up to 2 s; for SYN it doubles without this bound.
#include "support/tcp_stream.h"

#include <algorithm>

namespace radishyard {
namespace {

constexpr auto kInitialRto = 200ms;
constexpr auto kMaxRto = 2000ms;
constexpr int kMaxSynRetransmissions = 5;
constexpr int kMaxDataTimeouts = 15;
constexpr size_t kMaxBytesInFlight = 32 * 1024;
constexpr int32_t kReceiveWindow = 256 * 1024;
constexpr size_t kMaxOutOfOrderSegments = 256;    // Buffered.
constexpr size_t kSegmentsPerRetransmission = 4;  // Sent at one timeout.

byte_span Bytes(std::string_view text) {
  return {reinterpret_cast<const uint8_t*>(text.data()), text.size()};
}

}  // namespace

void tcp_stream::SendFlags(uint8_t flags, uint32_t seq,
                           std::string_view bytes) {
  const bool has_ack = (flags & kAck) != 0;
  send_({.source = local_,
         .destination = remote_,
         .proto = protocol::kTcp,
         .flags = flags,
         .seq = seq,
         .ack = has_ack ? rcv_nxt_ : 0,
         .payload = Bytes(bytes)});
}

void tcp_stream::SendSyn() {
  SendFlags(is_passive_ ? kSyn | kAck : kSyn, snd_una_);
}

void tcp_stream::RestartTimer(time_point now) {
  const bool is_idle = snd_una_ == snd_nxt_;
  const duration wait =
      std::min<duration>(kInitialRto * (1 << std::min(timeouts_, 10)), kMaxRto);
  const bool opening = state_ == tcp_state::kOpening;
  next_timeout_.reset();
  if (!is_idle)
    next_timeout_ = now + (opening ? kInitialRto * (1 << timeouts_) : wait);
}

void tcp_stream::Connect(time_point now) {
  snd_nxt_ = snd_una_ + 1;
  SendSyn();
  RestartTimer(now);
}

void tcp_stream::Accept(const packet_view& syn, time_point now) {
  is_passive_ = true;
  irs_ = syn.seq;
  rcv_nxt_ = syn.seq + 1;
  Connect(now);
}

void tcp_stream::Write(std::string_view bytes, time_point now) {
  out_.append(bytes);
  SendPending(now);
}

void tcp_stream::Close(time_point now) {
  fin_wanted_ = true;
  SendPending(now);
}

void tcp_stream::Abort() {
  SendFlags(kRst | kAck, snd_nxt_);
  state_ = tcp_state::kReset;
  next_timeout_.reset();
}

void tcp_stream::SendPending(time_point now) {
  if (state_ != tcp_state::kOpen) return;
  const bool was_idle = snd_una_ == snd_nxt_;
  while (SentBytes() < std::min(out_.size(), kMaxBytesInFlight) && !fin_sent_) {
    const std::string_view rest = std::string_view(out_).substr(SentBytes());
    const std::string_view part = rest.substr(0, segment_bytes_);
    SendFlags(kPsh | kAck, snd_nxt_, part);
    snd_nxt_ += static_cast<uint32_t>(part.size());
  }
  if (fin_wanted_ && !fin_sent_ && SentBytes() == out_.size()) {
    SendFlags(kFin | kAck, snd_nxt_);
    ++snd_nxt_;
    fin_sent_ = true;
  }
  if (was_idle) RestartTimer(now);
}

void tcp_stream::OnTimer(time_point now) {
  if (!next_timeout_ || now < *next_timeout_) return;
  const bool opening = state_ == tcp_state::kOpening;
  if (++timeouts_ > (opening ? kMaxSynRetransmissions : kMaxDataTimeouts)) {
    state_ = tcp_state::kFailed;
    next_timeout_.reset();
    return;
  }
  if (opening) {
    SendSyn();
  } else {
    Retransmit();
  }
  RestartTimer(now);
}

void tcp_stream::Retransmit() {
  size_t at = 0;
  for (size_t i = 0; i < kSegmentsPerRetransmission && at < SentBytes(); ++i) {
    const size_t bytes = std::min(segment_bytes_, SentBytes() - at);
    SendFlags(kPsh | kAck, snd_una_ + static_cast<uint32_t>(at),
              std::string_view(out_).substr(at, bytes));
    at += bytes;
  }
  if (fin_sent_ && at == SentBytes()) SendFlags(kFin | kAck, snd_nxt_ - 1);
}

bool tcp_stream::IsResetValid(const packet_view& segment) const {
  if (state_ == tcp_state::kOpening && !is_passive_)
    return segment.Has(kAck) && segment.ack == snd_nxt_;
  const auto offset = static_cast<int32_t>(segment.seq - rcv_nxt_);
  return offset >= 0 && offset < kReceiveWindow;
}

void tcp_stream::OnSegment(const packet_view& segment, time_point now) {
  if (state_ == tcp_state::kReset || state_ == tcp_state::kFailed) return;
  if (segment.Has(kRst)) {
    if (!IsResetValid(segment)) return;
    state_ = tcp_state::kReset;
    next_timeout_.reset();
    return;
  }
  if (state_ == tcp_state::kOpening) OnHandshakeSegment(segment, now);
  if (state_ == tcp_state::kOpening) return;
  if (segment.Has(kSyn)) {  // A retransmitted SYN or SYN-ACK.
    SendFlags(kAck, snd_nxt_);
    return;
  }
  if (segment.Has(kAck)) OnAck(segment.ack, now);
  OnData(segment);
  SendPending(now);
  if (peer_closed_ && fin_acked_) state_ = tcp_state::kClosed;
}

void tcp_stream::OnHandshakeSegment(const packet_view& segment,
                                    time_point now) {
  if (is_passive_ && segment.IsSyn()) {
    SendSyn();
    return;
  }
  if (!segment.Has(kAck)) return;
  if (segment.ack != snd_nxt_) {  // It belongs to another connection.
    if (is_passive_) SendFlags(kRst, segment.ack);
    return;
  }
  if (!is_passive_) {
    if (!segment.Has(kSyn)) return;
    irs_ = segment.seq;
    rcv_nxt_ = segment.seq + 1;
    SendFlags(kAck, snd_nxt_);
  }
  state_ = tcp_state::kOpen;
  snd_una_ = snd_nxt_;
  timeouts_ = 0;
  RestartTimer(now);
}

void tcp_stream::OnAck(uint32_t ack, time_point now) {
  const uint32_t acknowledged = ack - snd_una_;
  if (acknowledged == 0 || acknowledged > snd_nxt_ - snd_una_) return;
  const size_t bytes = std::min<size_t>(acknowledged, SentBytes());
  out_.erase(0, bytes);
  snd_una_ = ack;
  if (fin_sent_ && snd_una_ == snd_nxt_) fin_acked_ = true;
  timeouts_ = 0;
  RestartTimer(now);
}

void tcp_stream::OnData(const packet_view& segment) {
  const auto offset = static_cast<int32_t>(segment.seq - rcv_nxt_);
  const size_t bytes = segment.payload.size();
  if (segment.Has(kFin) && offset > -kReceiveWindow &&
      offset < kReceiveWindow && !peer_closed_)
    peer_fin_ = segment.seq + static_cast<uint32_t>(bytes);
  if (bytes > 0 && offset > -kReceiveWindow && offset < kReceiveWindow &&
      out_of_order_.size() < kMaxOutOfOrderSegments) {
    std::string& buffered = out_of_order_[segment.seq - irs_];
    if (buffered.size() < bytes)
      buffered.assign(segment.payload.begin(), segment.payload.end());
  }
  while (!out_of_order_.empty()) {
    const auto first = out_of_order_.begin();
    const uint32_t at = rcv_nxt_ - irs_;
    if (first->first > at) break;
    const size_t already_received = at - first->first;
    if (already_received < first->second.size()) {
      received_.append(first->second, already_received);
      rcv_nxt_ +=
          static_cast<uint32_t>(first->second.size() - already_received);
    }
    out_of_order_.erase(first);
  }
  if (peer_fin_ == rcv_nxt_ && !peer_closed_) {
    ++rcv_nxt_;
    peer_closed_ = true;
  }
  if (bytes > 0 || segment.Has(kFin)) SendFlags(kAck, snd_nxt_);
}

}  // namespace radishyard
