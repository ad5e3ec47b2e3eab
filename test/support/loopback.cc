// Finds free loopback ports by binding port 0.
#include "support/loopback.h"

#include "base/asio.h"

namespace radishyard {

uint16_t FreePort() {
  asio::io_context io;
  for (;;) {
    asio::ip::tcp::acceptor tcp(io, {asio::ip::address_v4::loopback(), 0});
    const uint16_t port = tcp.local_endpoint().port();
    asio::ip::udp::socket udp(io, asio::ip::udp::v4());
    boost::system::error_code error;
    udp.bind({asio::ip::address_v4::loopback(), port}, error);
    if (!error) return port;
  }
}

}  // namespace radishyard
