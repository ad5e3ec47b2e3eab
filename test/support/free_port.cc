// Chooses ports below the ephemeral range of the system: otherwise an outgoing
// connection could be given the port between its choice and its use.
#include "support/free_port.h"

#include <unistd.h>

#include <atomic>

#include "base/asio.h"

namespace radishyard {
namespace {

constexpr uint32_t kFirstPort = 12'000;
constexpr uint32_t kPortCount = 20'000;
constexpr uint32_t kProcessStride = 7'919;  // Spreads close process ids.

bool IsFree(uint16_t port) {
  const auto loopback = asio::ip::address_v4::loopback();
  asio::io_context io;
  asio::ip::tcp::acceptor tcp(io, asio::ip::tcp::v4());
  asio::ip::udp::socket udp(io, asio::ip::udp::v4());
  error_code tcp_error;
  error_code udp_error;
  tcp.bind({loopback, port}, tcp_error);
  udp.bind({loopback, port}, udp_error);
  return !tcp_error && !udp_error;
}

}  // namespace

uint16_t FindFreePort() {
  static std::atomic<uint32_t> next =
      static_cast<uint32_t>(getpid()) * kProcessStride;
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPortCount);
    if (IsFree(port)) return port;
  }
}

}  // namespace radishyard
