// The world of one case: the platform's store, its routers, the balancers as
// separate processes, servers and callers. All addresses are loopback ones.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "store_stand_in.h"
#include "support/process.h"

namespace review {

inline constexpr uint32_t kRouteIp = 0xC6120001;  ///< 198.18.0.1, in packets.
inline constexpr uint32_t kOtherRouteIp = 0xC6120002;  ///< 198.18.0.2.
inline constexpr uint16_t kRoutePort = 8443;
inline constexpr const char* kService = "chantier-live";
/// \brief Service of the other route.
inline constexpr const char* kOtherService = "archives-plans";
inline constexpr int kHeartbeatMs = 1200;

/// \brief One balancer, a process of its own.
struct edge {
  std::string zone;
  uint32_t ip = 0;
  std::unique_ptr<radishyard::process> program;
  int missed = 2;  ///< Readiness requests in a row without status 200.
  bool in_rotation = false;
};

/// \brief What a case is started with.
struct world_options {
  std::string folder;   ///< For the record.
  std::string scratch;  ///< For logs and settings; a temporary folder.
  std::string program;  ///< The balancer's, as the deploy file names it.
  std::vector<std::string> edge_zones;  ///< One for each balancer.
  std::vector<std::string> server_zones;
  /// The last servers, so many of them, are of kOtherService.
  size_t other_servers = 0;
  millis work{15};
  std::string route_type = "idempotent";
};

/// \brief Starts and connects the stand-ins; see the members.
class world {
 public:
  explicit world(world_options options);
  ~world();

  /// \brief Waits until all balancers are ready. \returns false on timeout.
  bool WaitUntilReady();
  /// \brief Runs all stand-ins for this long, or until the program is told to
  /// end. \returns false in the latter case.
  bool Run(millis length);
  /// \brief Calls `action` after `wait`, while the world runs.
  void At(millis wait, std::function<void()> action);

  /// \brief Adds a caller in `zone`, with an address of its own.
  std::shared_ptr<caller> AddCaller(const std::string& zone,
                                    uint32_t route_ip = kRouteIp);
  /// \brief Starts the process of a balancer.
  void StartEdge(size_t index);
  /// \brief Writes the table, with its version.
  void PutTable(uint64_t version);
  /// \brief Writes the entry of a server.
  void PutServer(const server& s, const std::string& state);

  asio::io_context io;
  record log;
  std::vector<edge> edges;
  std::vector<std::unique_ptr<server>> servers;
  std::vector<std::shared_ptr<caller>> callers;
  std::unique_ptr<radishyard::platform::store_stand_in> store;

 private:
  void Route(const std::string& zone, const packet& p);
  void PollReadiness(size_t index);
  void SchedulePoll();

  world_options options_;
  asio::ip::udp::socket router_;
  asio::steady_timer poll_timer_;
  asio::signal_set signals_;
  bool is_ended_ = false;
  uint16_t port_base_ = 0;
  int64_t born_ms_ = 0;
};

}  // namespace review
