// The UDP port of a stand-in, over which Geneve datagrams travel.
#pragma once
#include <array>
#include <functional>
#include <string>

#include "base/asio.h"
#include "packet/geneve.h"

namespace radishyard {

/// \brief Parses "127.0.0.1:9000"; throws std::invalid_argument otherwise.
endpoint ParseEndpoint(const std::string& text);

/// \brief A UDP socket on 127.0.0.1 with large buffers, read in batches.
class datagram_socket {
 public:
  using handler = std::function<void(byte_span datagram, const endpoint& from)>;

  /// \brief Binds to `port`; 0 takes any free one.
  datagram_socket(asio::io_context& io, uint16_t port);

  /// \brief Hands each datagram to `receive` from now on.
  void Start(handler receive);
  void Send(byte_span datagram, const endpoint& to);
  /// \brief Sends an IPv4 packet in a Geneve envelope.
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
  uint64_t unsent_ = 0;  ///< Datagrams that the system did not take.
};

}  // namespace radishyard
