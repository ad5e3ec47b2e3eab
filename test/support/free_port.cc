// Takes ports below the range from which the system gives out ports by itself,
// so that no outgoing connection gets one between its choice and its use.
#include "support/free_port.h"

#include <unistd.h>

#include <atomic>

#include "base/asio.h"

namespace radishyard {
namespace {

constexpr uint32_t kFirstPort = 12'000;
constexpr uint32_t kPorts = 20'000;
constexpr uint32_t kStride = 7'919;  // Sets processes with near ids apart.

bool IsFree(uint16_t port) {
  const auto loopback = asio::ip::address_v4::loopback();
  asio::io_context io;
  asio::ip::tcp::acceptor tcp(io, asio::ip::tcp::v4());
  asio::ip::udp::socket udp(io, asio::ip::udp::v4());
  error_code no_tcp;
  error_code no_udp;
  tcp.bind({loopback, port}, no_tcp);
  udp.bind({loopback, port}, no_udp);
  return !no_tcp && !no_udp;
}

}  // namespace

uint16_t FindFreePort() {
  static std::atomic<uint32_t> next = static_cast<uint32_t>(getpid()) * kStride;
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPorts);
    if (IsFree(port)) return port;
  }
}

}  // namespace radishyard
