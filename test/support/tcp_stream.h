// One end of a TCP connection over single packets, as far as the stand-ins of
// callers and upstreams need it: handshake, retransmission, reassembly, FIN and
// RST. No congestion control and no options.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "packet/packet.h"

namespace radishyard {

enum class tcp_state {
  kOpening,
  kOpen,
  kClosed,  ///< Both directions ended by FIN.
  kReset,   ///< By a RST of the peer.
  kFailed,  ///< The peer acknowledged nothing within the tries allowed.
};

/// \brief One end of a connection.
/// Invariant: `out_` holds the bytes from `snd_una_` on, sent or not.
class tcp_stream {
 public:
  using sender = std::function<void(const packet_fields&)>;

  tcp_stream(const endpoint& local, const endpoint& remote, uint32_t seq,
             const sender& send)
      : local_(local),
        remote_(remote),
        send_(send),
        snd_una_(seq),
        snd_nxt_(seq) {}

  void Connect(time_point now);
  void Accept(const packet_view& syn, time_point now);
  void OnSegment(const packet_view& segment, time_point now);
  void OnTimer(time_point now);

  void Write(std::string_view bytes, time_point now);
  /// \brief Sends FIN once all that was written is sent.
  void Close(time_point now);
  /// \brief Sends RST; the stream is dead afterwards.
  void Abort();

  /// \brief Takes what arrived in order since the last call.
  std::string TakeReceived() { return std::exchange(received_, {}); }

  tcp_state state() const { return state_; }
  bool peer_closed() const { return peer_closed_; }
  /// \brief When OnTimer() has work; nothing while all is acknowledged.
  std::optional<time_point> due() const { return due_; }

  void set_segment_bytes(size_t bytes) { segment_bytes_ = bytes; }

 private:
  void SendFlags(uint8_t flags, uint32_t seq, std::string_view bytes = {});
  void SendSyn();
  void OnOpening(const packet_view& segment, time_point now);
  void OnAck(uint32_t ack, time_point now);
  void OnData(const packet_view& segment);
  void Pump(time_point now);
  void Retransmit();
  void SetDue(time_point now);
  bool IsResetValid(const packet_view& segment) const;
  size_t SentBytes() const {
    return snd_nxt_ - snd_una_ - (fin_sent_ && !fin_acked_ ? 1 : 0);
  }

  endpoint local_;
  endpoint remote_;
  const sender& send_;
  tcp_state state_ = tcp_state::kOpening;
  bool is_passive_ = false;
  uint32_t snd_una_;  ///< Oldest sequence number not acknowledged.
  uint32_t snd_nxt_;  ///< Next sequence number to send.
  uint32_t rcv_nxt_ = 0;
  uint32_t irs_ = 0;  ///< Initial sequence number of the peer.
  size_t segment_bytes_ = 1200;
  std::string out_;
  std::string received_;
  std::map<uint32_t, std::string> early_;  ///< Out of order, by seq - irs_.
  std::optional<uint32_t> peer_fin_;       ///< Sequence number of its FIN.
  bool fin_wanted_ = false;
  bool fin_sent_ = false;
  bool fin_acked_ = false;
  bool peer_closed_ = false;
  int tries_ = 0;
  std::optional<time_point> due_;
};

}  // namespace radishyard
