// Uses a blocking stream with a timeout, since a test sends one command at a
// time.
#include "support/control_client.h"

#include <chrono>
#include <stdexcept>
#include <string>

namespace radishyard {
namespace {

constexpr std::chrono::seconds kTimeout{180};

}  // namespace

control_client::control_client(uint16_t port)
    : stream_(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port)) {
}

nlohmann::json control_client::SendCommand(const nlohmann::json& command) {
  stream_.expires_after(kTimeout);
  stream_ << command.dump() << "\n" << std::flush;
  std::string line;
  if (!std::getline(stream_, line))
    throw std::runtime_error("no reply to " + command.dump());
  nlohmann::json reply = nlohmann::json::parse(line);
  if (reply.contains("error"))
    throw std::runtime_error(command.dump() + ": " + reply.dump());
  return reply;
}

}  // namespace radishyard
