// One TCP connection between two balancers, carrying framed messages both ways.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/asio.h"
#include "base/failure.h"
#include "peer/peer_message.h"

namespace radishyard {

/// \brief Traffic over links, for metrics. The byte counts include the length
/// field of each frame.
struct peer_counters {
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
  uint64_t malformed = 0;  ///< Frames that were too large or not decodable.
  uint64_t overflows = 0;  ///< Links closed because their send queue was full.
  auto operator<=>(const peer_counters&) const = default;
};

class peer_link;

/// \brief Callbacks to the user of a link; all run on the link's executor.
struct link_handlers {
  std::function<void(peer_link&)> on_open;
  std::function<void(peer_link&, peer_message)> on_message;
  /// Called once, unless the user closed the link.
  std::function<void(peer_link&, const failure&)> on_close;
};

/// \brief A link over a connected socket.
///
/// A malformed message is dropped and counted. A frame larger than
/// kMaxPayloadBytes closes the link, since the start of the next frame can't be
/// found.
/// \sa peer_server, peer_connector
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  peer_link(asio::ip::tcp::socket socket, link_handlers handlers,
            std::shared_ptr<peer_counters> counters);

  /// \brief Calls on_open, then starts to read.
  void Start();
  /// \brief Queues a message. A full send queue closes the link.
  /// \returns false if the link is closed, the message is too large or the send
  /// queue is full.
  bool Send(const peer_message& message);
  /// \brief Closes the link without a call of on_close.
  void Close();

  bool is_open() const { return open_; }
  /// \brief The balancer at the other end; empty until its hello is received.
  const std::optional<member>& peer() const { return peer_; }
  size_t queued_bytes() const { return queued_.size() + writing_.size(); }

 private:
  void Read();
  void HandleFrames();
  void HandlePayload(std::string_view payload);
  void Write();
  void CloseSocket();
  void CloseWithFailure(failure_kind kind, const std::string& text);

  asio::ip::tcp::socket socket_;
  /// Null once the user has closed the link. A function that calls a handler
  /// holds a copy of the pointer, since the handler may close the link.
  std::shared_ptr<const link_handlers> handlers_;
  std::shared_ptr<peer_counters> counters_;
  std::string received_;  ///< Received bytes that are not yet decoded.
  std::string queued_;    ///< Frames for the next write.
  std::string writing_;   ///< Frames of the write in progress; empty if there
                          ///< is none.
  std::optional<member> peer_;
  bool open_ = true;
};

}  // namespace radishyard
