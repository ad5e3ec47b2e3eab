// One end of a TCP connection that works on single packets, for the stand-ins
// of callers and upstreams. It has handshake, retransmission, reassembly, FIN
// and RST, but no congestion control and no options.
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
  kReset,   ///< Ended by RST, or by Abort().
  kFailed,  ///< Retransmissions remained unacknowledged.
};

/// \brief One end of a TCP connection.
/// Invariant: `out_` holds all bytes from sequence number `snd_una_` on,
/// whether sent or not.
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

  /// \brief Opens the connection from this end.
  void Connect(time_point now);
  /// \brief Accepts a connection that the peer opened with `syn`.
  void Accept(const packet_view& syn, time_point now);
  void OnSegment(const packet_view& segment, time_point now);
  /// \brief Retransmits the bytes and flags whose timeout has expired. Call it
  /// at next_timeout().
  void OnTimer(time_point now);

  void Write(std::string_view bytes, time_point now);
  /// \brief Sends FIN after all bytes written so far.
  void Close(time_point now);
  /// \brief Sends RST and ends the connection.
  void Abort();

  /// \brief Returns the bytes received in order since the last call.
  std::string TakeReceived() { return std::exchange(received_, {}); }

  tcp_state state() const { return state_; }
  bool peer_closed() const { return peer_closed_; }
  /// \brief When OnTimer() must be called; nothing while no byte or flag awaits
  /// an acknowledgement.
  std::optional<time_point> next_timeout() const { return next_timeout_; }

  void set_segment_bytes(size_t bytes) { segment_bytes_ = bytes; }

 private:
  void SendFlags(uint8_t flags, uint32_t seq, std::string_view bytes = {});
  void SendSyn();
  void OnHandshakeSegment(const packet_view& segment, time_point now);
  void OnAck(uint32_t ack, time_point now);
  void OnData(const packet_view& segment);
  void SendPending(time_point now);
  void Retransmit();
  void RestartTimer(time_point now);
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
  std::string out_;  ///< Not acknowledged yet.
  std::string received_;
  std::map<uint32_t, std::string> out_of_order_;  ///< Segments by seq - irs_.
  std::optional<uint32_t> peer_fin_;  ///< Sequence number of the peer's FIN.
  bool fin_wanted_ = false;
  bool fin_sent_ = false;
  bool fin_acked_ = false;
  bool peer_closed_ = false;
  int timeouts_ = 0;  ///< Successive ones, without an acknowledgement.
  std::optional<time_point> next_timeout_;
};

}  // namespace radishyard
