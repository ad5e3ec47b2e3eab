// The UDP socket of a stand-in process, over which it exchanges Geneve
// datagrams.
#pragma once
#include <array>
#include <functional>
#include <string>

#include "base/asio.h"
#include "packet/geneve.h"

namespace radishyard {

/// \brief Parses an address and port such as "127.0.0.1:9000". Throws
/// std::invalid_argument if the text is malformed.
endpoint ParseEndpointOrThrow(const std::string& text);

/// \brief A UDP socket on 127.0.0.1 with large buffers that is read in batches.
class datagram_socket {
 public:
  using handler = std::function<void(byte_span datagram, const endpoint& from)>;

  /// \brief Binds to `port`; 0 means any free port.
  datagram_socket(asio::io_context& io, uint16_t port);

  /// \brief Starts to read; each datagram is passed to `receive`.
  void Start(handler receive);
  void Send(byte_span datagram, const endpoint& to);
  /// \brief Sends an IPv4 packet encapsulated in Geneve.
  void SendEncapsulated(byte_span ip, const endpoint& to);

  uint16_t port() const { return socket_.local_endpoint().port(); }
  uint64_t received() const { return received_; }
  uint64_t unsent() const { return unsent_; }

 private:
  void Wait();
  void ReadBatch();

  asio::ip::udp::socket socket_;
  handler receive_;
  std::array<uint8_t, 65536> buffer_{};
  uint64_t received_ = 0;
  uint64_t unsent_ = 0;  ///< Datagrams that the system failed to send.
};

}  // namespace radishyard
