// A small deployment on loopback: the platform's store (the project's own
// stand-in), its operator, upstreams that register themselves, callers,
// routers, and processes of radishyard_edge. One thread runs all stand-ins.
//
// What is judged is what callers, upstreams and the platform see: `openings`
// has each flow that an upstream took.
#pragma once
#include <sys/types.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "relay.h"
#include "store_stand_in.h"
#include "wire.h"

namespace review {

namespace asio = radishyard::asio;
using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using std::chrono::milliseconds;

/// \brief Ports of every VM and caller of a run; addresses tell them apart.
constexpr uint16_t kTrafficPort = 8172;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kMetricsPort = 9109;
constexpr uint16_t kPeerPort = 7720;
constexpr uint16_t kUpstreamPort = 8080;

/// \brief Bounds of the deployment, as the settings of its VMs have them.
struct bounds {
  int drain_ms = 5000;
  int edit_ms = 5000;
  int evacuate_ms = 5000;  ///< 0: the site has no evacuations.
  int stable_window_ms = 5000;
  double cold_overage = 1.5;
  double cold_slack = 5;
};

/// \brief A flow that an upstream took.
struct opening {
  uint64_t upstream = 0;
  std::string zone;    ///< Of the upstream.
  int64_t born = 0;    ///< Of its incarnation.
  time_point sent;     ///< When the caller sent the first opening packet.
  time_point arrived;  ///< When the upstream took it.
  std::string via;     ///< The balancer that sent the opening on.
};

/// \brief An upstream. Its id stays the same when it starts again.
struct upstream {
  uint64_t id = 0;
  std::string service;
  std::string zone;
  uint32_t address = 0;
  int64_t born = 0;  ///< Unix milliseconds.
  time_point born_at;
  time_point cold_from;
  time_point cold_until;
  int sequence = 0;
  bool is_up = false;
  bool reaches_store = true;
  time_point last_beat;  ///< Last write of its entry.
  /// The state of a flow, by caller and port.
  struct flow {
    uint32_t sequence = 0;
    uint32_t peer_sequence = 0;
    bool is_open = false;
    bool has_run = false;
    time_point arrived;
    std::string via;
  };
  std::map<std::pair<uint32_t, uint16_t>, flow> flows;
  std::unique_ptr<asio::ip::udp::socket> socket;
};

/// \brief A VM with one process of radishyard_edge.
struct edge {
  std::string name;
  std::string zone;
  uint32_t address = 0;
  double cores = 0.1;
  pid_t pid = -1;
  int misses = 2;  ///< Readiness checks in a row without 200.
  std::unique_ptr<asio::steady_timer> restart;
  std::shared_ptr<relay> to_store;
};

class world {
 public:
  /// \param program path of radishyard_edge. \param folder of record.txt.
  world(std::string program, const std::string& folder, const bounds& limits);
  ~world();
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  /// \brief Loopback address number `host` of this run.
  uint32_t Address(uint32_t host) const { return base_ + host; }
  /// \brief Writes a line with the time since the start to record.txt.
  void Record(const std::string& line);
  /// \brief Milliseconds since the start.
  int64_t Ms(time_point at) const;
  /// \brief Runs all stand-ins for this long.
  void RunFor(milliseconds time);
  /// \brief Runs until `is_done`. \returns false after `limit`.
  bool RunUntil(const std::function<bool()>& is_done, milliseconds limit);

  edge& AddEdge(const std::string& name, const std::string& zone, double cores);
  void Start(edge& vm);
  /// \brief Ends the process with SIGKILL; the platform starts it again after
  /// `dark`, if that is not 0.
  void Kill(edge& vm, milliseconds dark);
  /// \brief Cuts the VM off from the store, or ends the cut.
  void CutFromStore(edge& vm, bool is_cut);
  bool IsInRotation(const edge& vm) const { return vm.misses < 2; }

  upstream& AddUpstream(uint64_t id, const std::string& service,
                        const std::string& zone);
  /// \brief Starts a new incarnation under the same id, cold for `cold`.
  void Start(upstream& server, milliseconds cold);
  /// \brief Makes it cold for `cold` without a new start, and says so.
  void BecomeCold(upstream& server, milliseconds cold);
  /// \brief Ends it; it holds and knows nothing afterwards.
  void Crash(upstream& server);

  /// \brief The store removes its entry, after its silence.
  void Expire(upstream& server);

  /// \brief Starts to open `per_second` flows from callers of `zone`, which
  /// each carry one request.
  void StartTraffic(const std::string& zone, int per_second);

  /// \brief Writes an object as the operator does. \returns the time of the
  /// store's acknowledgement.
  time_point Write(const std::string& kind, const std::string& name,
                   const json& spec);
  /// \brief Removes an object as the operator does.
  void Remove(const std::string& kind, const std::string& name);
  /// \brief The store returns from the copy kept last.
  void ReturnStoreFromCopy();

  /// \brief Writes the lines of all logs that contain `text` to record.txt.
  void RecordLogLines(const std::string& text);
  /// \brief Writes each flow that an upstream took, and the counts of what was
  /// sent, answered and run, to record.txt.
  void RecordTotals();

  radishyard::platform::store_stand_in& store() { return *store_; }
  const std::vector<opening>& openings() const { return openings_; }
  /// \brief When each flow was sent first.
  const std::vector<time_point>& sent() const { return sent_; }
  const bounds limits;

 private:
  struct caller_flow {
    uint32_t caller = 0;
    uint16_t port = 0;
    std::string zone;
    uint32_t sequence = 0;
    uint32_t acknowledged = 0;
    uint32_t echo = 0;
    bool is_open = false;
    uint32_t copies = 0;
    time_point sent;
    std::unique_ptr<asio::steady_timer> timer;
  };
  using flow_id = std::pair<uint32_t, uint16_t>;

  void CheckReadiness(edge& vm);
  void CheckAll();
  json MakeSettings(const edge& vm) const;
  void Receive(upstream& server);
  void Handle(upstream& server, const packet& p, uint32_t from);
  void Answer(upstream& server, flow_id id);
  void SendToCaller(upstream& server, const packet& in, uint8_t flags,
                    uint32_t sequence, std::vector<uint8_t> data);
  void Beat();
  void Register(upstream& server);
  void OpenFlow(const std::string& zone);
  void SendOpening(caller_flow& flow);
  void SendRequest(caller_flow& flow, uint32_t tries);
  void ReceiveAtCaller(uint32_t address);
  void HandleAtCaller(const packet& p);
  void SendFromCaller(const caller_flow& flow, uint8_t flags, uint32_t sequence,
                      std::vector<uint8_t> data);
  const edge* SelectEdge(const std::string& zone, uint32_t caller,
                         uint16_t port) const;
  void Tick(const std::string& zone, int per_second);

  std::string program_;
  std::string log_folder_;
  std::ofstream record_;
  time_point started_ = clock::now();
  uint32_t base_ = 0;
  std::mt19937 random_{20'261'207};
  asio::io_context io_;
  std::unique_ptr<radishyard::platform::store_stand_in> store_;
  std::vector<std::unique_ptr<edge>> edges_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  std::map<uint32_t, std::unique_ptr<asio::ip::udp::socket>> caller_sockets_;
  std::map<flow_id, caller_flow> caller_flows_;
  std::map<flow_id, time_point> first_sent_;
  std::vector<opening> openings_;
  std::vector<time_point> sent_;
  std::map<std::string, uint64_t> totals_;
  asio::steady_timer readiness_timer_{io_};
  asio::steady_timer beat_timer_{io_};
  std::vector<std::unique_ptr<asio::steady_timer>> traffic_timers_;
  uint16_t next_port_ = 20'000;
  uint32_t next_caller_ = 0;
};

/// \brief True unless the environment variable TROUBLE is 0.
bool HasTrouble();

/// \brief The most openings that one incarnation of `server` took in a window
/// of one second within its cold time, both sent and arrived in that window.
struct busiest_second {
  size_t openings = 0;
  time_point from;
};
busiest_second FindBusiestColdSecond(const world& w, const upstream& server);

/// \brief Records the busiest second of a cold upstream.
/// \returns true if it breaks FAILBACK.
bool RecordColdSecond(world& w, const upstream& server, double cold_per_second);

/// \brief A configuration with one route, to `service`.
json MakeConfig(milliseconds cold_start, double cold_per_second,
                const std::string& service);

/// \brief Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// \brief Runs a case with the command line PROGRAM FOLDER.
int RunCase(int argc, const char** argv,
            int (*run)(const std::string& program, const std::string& folder));

}  // namespace review
