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

/// \brief Traffic over links, for metrics. Bytes are those of whole frames.
struct peer_counters {
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
  uint64_t malformed = 0;  ///< Frames too large or not to be decoded.
  uint64_t overflows = 0;  ///< Links dropped for a full send queue.
  auto operator<=>(const peer_counters&) const = default;
};

class peer_link;

/// \brief What the user of a link is told; all on the link's executor.
struct link_handlers {
  std::function<void(peer_link&)> on_open;
  std::function<void(peer_link&, peer_message)> on_message;
  /// Called once, unless the user closed the link.
  std::function<void(peer_link&, const failure&)> on_close;
};

/// \brief A link over a connected socket.
///
/// A malformed message is dropped and counted; a frame above the bound closes
/// the link, since the next frame can't be found. \sa peer_server,
/// peer_connector
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  peer_link(asio::ip::tcp::socket socket, link_handlers handlers,
            std::shared_ptr<peer_counters> counters);

  /// \brief Begins to read, after the call of on_open.
  void Start();
  /// \brief Queues a message. False if the link is closed, the message is too
  /// large, or the queue was full, which closes the link.
  bool Send(const peer_message& message);
  /// \brief Closes without a call of on_close.
  void Close();

  bool is_open() const { return open_; }
  /// \brief Whom the other end's hello named, once it came.
  const std::optional<member>& peer() const { return peer_; }
  size_t queued_bytes() const { return waiting_.size() + writing_.size(); }

 private:
  void Read();
  void TakeFrames();
  void Take(std::string_view payload);
  void Write();
  void CloseSocket();
  void Fail(failure_kind kind, const std::string& text);

  asio::ip::tcp::socket socket_;
  /// Null once the user has closed the link. Calls hold a copy, since a handler
  /// may close the link.
  std::shared_ptr<const link_handlers> handlers_;
  std::shared_ptr<peer_counters> counters_;
  std::string received_;  ///< Bytes not yet taken as frames.
  std::string waiting_;   ///< Frames to be written next.
  std::string writing_;   ///< Frames being written; empty if none are.
  std::optional<member> peer_;
  bool open_ = true;
};

}  // namespace radishyard
