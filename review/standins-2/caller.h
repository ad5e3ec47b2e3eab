// A stand-in for a caller ("client"): opens flows, sends requests on them one
// at a time and repeats what is not acknowledged, as the users' pages say.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "server.h"

namespace review {

/// \brief One flow of a caller and the request that waits on it.
struct caller_flow {
  uint16_t port = 0;
  uint32_t sequence = 0;      ///< Next of this end.
  uint32_t acknowledged = 0;  ///< Next expected of the server.
  uint32_t echo = 0;
  bool is_open = false;
  bool is_ended = false;
  int openings = 0;
  int repetitions = 0;
  std::string request;  ///< Not acknowledged yet.
  std::string request_id;
  bool is_waiting = false;  ///< For the response.
  time_point sent_at{};
  asio::steady_timer timer;
  asio::steady_timer deadline;
  explicit caller_flow(asio::io_context& io) : timer(io), deadline(io) {}
};

/// \brief Requests of one caller, in total.
struct caller_counts {
  uint64_t served = 0;
  uint64_t failed = 0;
  uint64_t resets = 0;     ///< Of open flows, by a balancer.
  uint64_t lost_here = 0;  ///< Datagrams lost on the way to the caller.
};

/// \brief A machine with callers, on a loopback address of its own.
class caller : public std::enable_shared_from_this<caller> {
 public:
  using sender = std::function<void(const packet&)>;
  /// \param send takes a packet to the balancer that the routers choose.
  caller(asio::io_context& io, record& log, uint32_t ip, address route,
         sender send, uint32_t seed);

  /// \brief Starts `flows` long flows, each with a request about every `pause`.
  void StartLongFlows(int flows, millis pause);
  /// \brief Opens a flow for each request, one about every `pause`.
  void StartFreshFlows(millis pause);
  /// \brief Loses all datagrams on the way to this caller while set.
  void SetDownlinkLost(bool is_lost) { is_downlink_lost_ = is_lost; }
  void Stop();

  const caller_counts& counts() const { return counts_; }
  uint32_t ip() const { return ip_; }

  /// Called when a balancer has reset an open flow.
  std::function<void(const caller&, const caller_flow&)> on_reset;

 private:
  using flow_ptr = std::shared_ptr<caller_flow>;
  void Receive();
  void Handle(const packet& p);
  void HandleReset(const flow_ptr& f, const packet& p);
  flow_ptr OpenFlow();
  void SendOpening(const flow_ptr& f);
  void StartRequest(const flow_ptr& f);
  void SendRequest(const flow_ptr& f);
  void FinishRequest(const flow_ptr& f, bool is_served);
  void EndFlow(const flow_ptr& f, bool sends_fin);
  void Send(const caller_flow& f, uint8_t flags, const std::string& data);
  void After(millis wait, std::function<void()> next);
  millis Jitter(millis mean);

  asio::io_context& io_;
  record& log_;
  uint32_t ip_;
  address route_;
  sender send_;
  std::mt19937 random_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  std::array<char, 2048> buffer_{};
  std::map<uint16_t, flow_ptr> flows_;
  uint16_t next_port_ = 20000;
  uint64_t next_request_ = 1;
  millis pause_{1000};
  bool keeps_flows_ = true;
  bool is_downlink_lost_ = false;
  bool is_stopped_ = false;
  caller_counts counts_;
};

}  // namespace review
