// A stand-in for a server ("endpoint"): takes flows, runs requests after their
// work time, acknowledges and repeats as the users' pages say.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "base/asio.h"
#include "packet.h"
#include "record.h"

namespace review {

namespace asio = radishyard::asio;
using radishyard::error_code;

/// \brief One server, on a loopback address of its own.
class server {
 public:
  /// \param id the 64-bit id that precedes the packets meant for it.
  server(asio::io_context& io, record& log, const address& at, uint64_t id,
         std::string service, millis work);

  const address& at() const { return at_; }
  uint64_t id() const { return id_; }
  const std::string& service() const { return service_; }
  /// \brief Name of the entry in the store.
  std::string name() const;
  /// \brief True if the caller's flow is open here.
  bool HasOpenFlow(const address& caller, const address& route) const;
  uint64_t requests_run() const { return requests_run_; }

  /// Called for each opening packet that arrives, with the sender's address.
  std::function<void(const server&, const packet&, const address& balancer)>
      on_opening;
  /// Called for each request that is run, with the route that it came for.
  std::function<void(const server&, const address& route, const std::string&)>
      on_run;
  /// If set, returns true for a packet that is lost on the way to the server.
  std::function<bool(const packet&)> is_lost;

 private:
  struct flow {
    uint32_t first_sequence = 0;  ///< Of this end.
    uint32_t next_sequence = 0;   ///< Of this end.
    uint32_t expected = 0;        ///< Next sequence number of the caller.
    uint32_t echo = 0;
    bool is_open = false;
    uint64_t data_packets = 0;
    std::string unacknowledged;
    uint32_t unacknowledged_at = 0;
    int repetitions = 0;
    std::shared_ptr<asio::steady_timer> timer;
  };
  using flow_key = std::pair<address, address>;

  void Receive();
  void Handle(std::string_view bytes, const address& balancer);
  void HandleData(const flow_key& key, flow& f, const packet& p);
  void RunRequest(const flow_key& key, const std::string& id);
  void SendResponse(const flow_key& key);
  void Send(const flow_key& key, const flow& f, uint8_t flags,
            uint32_t sequence, const std::string& data);
  void SendReset(const packet& p);
  void SendTo(const packet& p);

  asio::io_context& io_;
  record& log_;
  address at_;
  uint64_t id_;
  std::string service_;
  millis work_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  std::array<char, 2048> buffer_{};
  std::map<flow_key, flow> flows_;
  std::mt19937 random_;
  uint64_t requests_run_ = 0;
};

/// \brief Port at which callers receive packets, the same for all of them.
void SetCallerPort(uint16_t port);
uint16_t CallerPort();

/// \brief The value of the header `Request-Id`; empty if there is none.
std::string RequestId(const std::string& text);

}  // namespace review
