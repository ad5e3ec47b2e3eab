// The state machine follows RFC 793 for valid peers; a retransmission timeout
// doubles from 200 ms to 2 s.
#include "support/tcp_stream.h"

#include <algorithm>

namespace radishyard {
namespace {

constexpr auto kFirstTimeout = 200ms;
constexpr auto kMaxTimeout = 2000ms;
constexpr int kSynTries = 5;
constexpr int kDataTries = 15;
constexpr size_t kMaxInFlight = 32 * 1024;
constexpr int32_t kWindow = 256 * 1024;
constexpr size_t kMaxEarly = 256;   // Segments held out of order.
constexpr size_t kRetransmits = 4;  // Segments sent again at one timeout.

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

void tcp_stream::SetDue(time_point now) {
  const bool is_idle = snd_una_ == snd_nxt_;
  const duration wait = std::min<duration>(
      kFirstTimeout * (1 << std::min(tries_, 10)), kMaxTimeout);
  const bool opening = state_ == tcp_state::kOpening;
  due_.reset();
  if (!is_idle) due_ = now + (opening ? kFirstTimeout * (1 << tries_) : wait);
}

void tcp_stream::Connect(time_point now) {
  snd_nxt_ = snd_una_ + 1;
  SendSyn();
  SetDue(now);
}

void tcp_stream::Accept(const packet_view& syn, time_point now) {
  is_passive_ = true;
  irs_ = syn.seq;
  rcv_nxt_ = syn.seq + 1;
  Connect(now);
}

void tcp_stream::Write(std::string_view bytes, time_point now) {
  out_.append(bytes);
  Pump(now);
}

void tcp_stream::Close(time_point now) {
  fin_wanted_ = true;
  Pump(now);
}

void tcp_stream::Abort() {
  SendFlags(kRst | kAck, snd_nxt_);
  state_ = tcp_state::kReset;
  due_.reset();
}

void tcp_stream::Pump(time_point now) {
  if (state_ != tcp_state::kOpen) return;
  const bool was_idle = snd_una_ == snd_nxt_;
  while (SentBytes() < std::min(out_.size(), kMaxInFlight) && !fin_sent_) {
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
  if (was_idle) SetDue(now);
}

void tcp_stream::OnTimer(time_point now) {
  if (!due_ || now < *due_) return;
  const bool opening = state_ == tcp_state::kOpening;
  if (++tries_ > (opening ? kSynTries : kDataTries)) {
    state_ = tcp_state::kFailed;
    due_.reset();
    return;
  }
  if (opening) {
    SendSyn();
  } else {
    Retransmit();
  }
  SetDue(now);
}

void tcp_stream::Retransmit() {
  size_t at = 0;
  for (size_t i = 0; i < kRetransmits && at < SentBytes(); ++i) {
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
  const auto ahead = static_cast<int32_t>(segment.seq - rcv_nxt_);
  return ahead >= 0 && ahead < kWindow;
}

void tcp_stream::OnSegment(const packet_view& segment, time_point now) {
  if (state_ == tcp_state::kReset || state_ == tcp_state::kFailed) return;
  if (segment.Has(kRst)) {
    if (!IsResetValid(segment)) return;
    state_ = tcp_state::kReset;
    due_.reset();
    return;
  }
  if (state_ == tcp_state::kOpening) OnOpening(segment, now);
  if (state_ == tcp_state::kOpening) return;
  if (segment.Has(kSyn)) {  // A repeated SYN or SYN-ACK.
    SendFlags(kAck, snd_nxt_);
    return;
  }
  if (segment.Has(kAck)) OnAck(segment.ack, now);
  OnData(segment);
  Pump(now);
  if (peer_closed_ && fin_acked_) state_ = tcp_state::kClosed;
}

void tcp_stream::OnOpening(const packet_view& segment, time_point now) {
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
  tries_ = 0;
  SetDue(now);
}

void tcp_stream::OnAck(uint32_t ack, time_point now) {
  const uint32_t newly = ack - snd_una_;
  if (newly == 0 || newly > snd_nxt_ - snd_una_) return;
  const size_t bytes = std::min<size_t>(newly, SentBytes());
  out_.erase(0, bytes);
  snd_una_ = ack;
  if (fin_sent_ && snd_una_ == snd_nxt_) fin_acked_ = true;
  tries_ = 0;
  SetDue(now);
}

void tcp_stream::OnData(const packet_view& segment) {
  const auto ahead = static_cast<int32_t>(segment.seq - rcv_nxt_);
  const size_t bytes = segment.payload.size();
  if (segment.Has(kFin) && ahead > -kWindow && ahead < kWindow && !peer_closed_)
    peer_fin_ = segment.seq + static_cast<uint32_t>(bytes);
  if (bytes > 0 && ahead > -kWindow && ahead < kWindow &&
      early_.size() < kMaxEarly) {
    std::string& held = early_[segment.seq - irs_];
    if (held.size() < bytes)
      held.assign(segment.payload.begin(), segment.payload.end());
  }
  while (!early_.empty()) {
    const auto first = early_.begin();
    const uint32_t at = rcv_nxt_ - irs_;
    if (first->first > at) break;
    const size_t known = at - first->first;
    if (known < first->second.size()) {
      received_.append(first->second, known);
      rcv_nxt_ += static_cast<uint32_t>(first->second.size() - known);
    }
    early_.erase(first);
  }
  if (peer_fin_ == rcv_nxt_ && !peer_closed_) {
    ++rcv_nxt_;
    peer_closed_ = true;
  }
  if (bytes > 0 || segment.Has(kFin)) SendFlags(kAck, snd_nxt_);
}

}  // namespace radishyard
