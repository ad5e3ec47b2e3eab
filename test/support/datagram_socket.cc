// Reads without blocking until the socket is empty or a batch is full, so that
// one wake-up of the event loop serves many datagrams.
#include "support/datagram_socket.h"

#include <stdexcept>
#include <utility>

namespace radishyard {
namespace {

using asio::ip::udp;

constexpr int kSocketBufferBytes = 8 << 20;
constexpr int kMaxBatch = 512;  // Lets timers run between batches.

udp::endpoint ToUdp(const endpoint& e) {
  return {asio::ip::address_v4(e.address), e.port};
}

}  // namespace

endpoint ParseEndpointOrThrow(const std::string& text) {
  const size_t colon = text.find(':');
  endpoint parsed;
  if (colon == std::string::npos ||
      !ParseAddress(text.substr(0, colon), parsed.address)) {
    throw std::invalid_argument("not an IPv4 address and port: " + text);
  }
  parsed.port = static_cast<uint16_t>(std::stoul(text.substr(colon + 1)));
  return parsed;
}

datagram_socket::datagram_socket(asio::io_context& io, uint16_t port)
    : socket_(io, udp::endpoint(asio::ip::address_v4::loopback(), port)) {
  socket_.set_option(udp::socket::receive_buffer_size(kSocketBufferBytes));
  socket_.set_option(udp::socket::send_buffer_size(kSocketBufferBytes));
  socket_.non_blocking(true);
}

void datagram_socket::Start(handler receive) {
  receive_ = std::move(receive);
  Wait();
}

void datagram_socket::Wait() {
  socket_.async_wait(udp::socket::wait_read, [this](const error_code& error) {
    if (error) return;
    ReadBatch();
    Wait();
  });
}

void datagram_socket::ReadBatch() {
  for (int i = 0; i < kMaxBatch; ++i) {
    udp::endpoint from;
    error_code error;
    const size_t bytes =
        socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block) return;
    if (error) continue;  // A destination is closed; the next read succeeds.
    ++received_;
    receive_(byte_span(buffer_).first(bytes),
             {from.address().to_v4().to_uint(), from.port()});
  }
}

void datagram_socket::Send(byte_span datagram, const endpoint& to) {
  error_code error;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()), ToUdp(to), 0,
                  error);
  if (error) ++unsent_;
}

void datagram_socket::SendEncapsulated(byte_span ip, const endpoint& to) {
  std::array<uint8_t, kMaxGeneveHeaderBytes> header{};
  const size_t bytes = EncodeGeneveHeader({}, header);
  const std::array<asio::const_buffer, 2> parts = {
      asio::buffer(header.data(), bytes), asio::buffer(ip.data(), ip.size())};
  error_code error;
  socket_.send_to(parts, ToUdp(to), 0, error);
  if (error) ++unsent_;
}

}  // namespace radishyard
