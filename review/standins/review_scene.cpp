// Plays a small deployment around processes of radishyard_edge for the review's
// cases: the platform's store, two services with one upstream each, and
// callers. Each case adds its disruption and checks one rule.
//
// Usage: review_scene CASE EDGE_PROGRAM WORK_FOLDER RECORD_FILE. TROUBLE=0 in
// the environment leaves the disruption out. Exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <stdexcept>

#include "review_store.h"
#include "soak_world.h"
#include "store_stand_in.h"
#include "support/process.h"
#include "wire_packet.h"

namespace radishyard::review {
namespace {

using steady_clock = std::chrono::steady_clock;
using json = nlohmann::json;

constexpr int kExitHeld = 0, kExitBroken = 1, kExitNotRun = 2;
constexpr int kBalancerCount = 2, kCallerCount = 24;
constexpr uint16_t kReadyPort = 8167, kMetricsPort = 9109, kPeerPort = 7720;
constexpr uint32_t kServiceAddress = 0xC6336401;  // 198.51.100.1
constexpr uint16_t kServicePort = 7000;
constexpr duration kHeartbeatInterval = 1200ms;
constexpr duration kStartTimeout = 10s, kRecordInterval = 1s;
/// The bounds of the users' small deployments.
constexpr duration kStableWindow = 4000ms, kEditBound = 3000ms,
                   kDrainBound = 3000ms, kStopGrace = 6000ms,
                   kRecoveryBound = 12s, kMeasuredTime = 16s;
constexpr const char* kDomain = "rennes";
constexpr const char* kFirstService = "survey-link";
constexpr const char* kSecondService = "drawing-archive";

/// The deployment, its clock and its record.
class deployment {
 public:
  deployment(std::string edge_program, std::string folder,
             const std::string& record_file)
      : edge_program_(std::move(edge_program)),
        folder_(std::move(folder)),
        record_(record_file),
        network_(0x7F000000 | (static_cast<uint32_t>(getpid()) % 0x7F00 + 0x100)
                                  << 8),
        store_(io_) {
    EditTable(3, kFirstService);
    upstreams_.push_back(MakeUpstream(0, 0x7f3a91c2, kFirstService));
    upstreams_.push_back(MakeUpstream(1, 0x5d2c9b4a, kSecondService));
    upstreams_.push_back(MakeUpstream(2, 0x6e81d0f7, kFirstService));
    SendHeartbeats();
    signals_.async_wait([](error_code error, int) {
      if (!error) throw std::runtime_error("stopped by a signal");
    });
  }

  /// Starts the balancers, waits until they are ready, and starts the callers.
  void Start() {
    for (int i = 0; i < kBalancerCount; ++i) StartBalancer(i, true);
    const time_point until = steady_clock::now() + kStartTimeout;
    while (CountReadyBalancers() < kBalancerCount) {
      if (steady_clock::now() > until)
        throw std::runtime_error("a balancer did not become ready");
      RunFor(100ms);
    }
    for (int i = 0; i < kCallerCount; ++i) StartCaller(i);
    Record("callers start");
  }

  /// Runs the stand-ins for a while.
  void RunFor(duration wait) {
    const time_point until = steady_clock::now() + wait;
    while (steady_clock::now() < until) {
      io_.run_until(std::min(until, steady_clock::now() + kRecordInterval));
      Record("requests answered so far " + std::to_string(served()) +
             ", given up " + std::to_string(failed()));
    }
    for (size_t i = 0; i < balancers_.size(); ++i) HandleEnd(i);
  }

  /// Lets the store answer the next lists with a malformed header.
  void MalformLists(int count) {
    store_.MalformLists(count);
    Record("store malforms its next " + std::to_string(count) + " lists");
  }
  int malformed_lists_left() const { return store_.malformed_lists_left(); }
  int ends(size_t index) const { return ends_.at(index); }

  /// Writes a version of the table that sends the service address to `service`.
  void EditTable(uint64_t version, const std::string& service) {
    json table = platform::MakeTableSpec(
        version, ToDottedAddress(kServiceAddress), kServicePort, service);
    table["routes"][0]["timeoutMs"] = 1500 + version;
    store_.Put("config", "main", table);
    edited_at_ = steady_clock::now();
    Record("store accepts table version " + std::to_string(version) + ": " +
           kServiceName + " goes to " + service);
  }

  /// Lets the store answer no request that it receives, or answer again.
  void SetStoreSilent(bool is_silent) {
    is_store_silent_ = is_silent;
    store_.SetSilent(is_silent);
    Record(is_silent ? "store falls silent" : "store answers again");
  }

  void PutForeignEntry(const std::string& name, const json& spec,
                       const json& finalizers = json::array()) {
    store_.Put("servers", name, spec, finalizers);
    Record("another writer puts servers/" + name + ", spec of " +
           std::to_string(spec.dump().size()) +
           " bytes: " + spec.dump().substr(0, 200) + ", finalizers of " +
           std::to_string(finalizers.dump().size()) + " bytes");
  }

  /// Lets another writer follow each heartbeat of the first service's upstreams
  /// with an unreadable entry of its own, whose name ends in the upstream's id.
  void StartSecondWriter() {
    has_second_writer_ = true;
    Record("another writer starts to write unreadable entries, named old-i-ID");
  }

  /// Lets an upstream say that it leaves.
  void DrainUpstream(size_t index) {
    upstreams_.at(index)->is_draining = true;
    PutEntry(*upstreams_.at(index));
    Record("store accepts that " + ToHex(upstreams_.at(index)->id) +
           " is draining");
  }

  /// Kills the processes of all balancers and starts them again.
  void RestartBalancers() {
    Record("all balancers are killed");
    balancers_.clear();
    for (int i = 0; i < kBalancerCount; ++i) StartBalancer(i, false);
    Record("all balancers are started again");
  }

  int CountReadyBalancers() const {
    int count = 0;
    for (const auto& balancer : balancers_)
      if (balancer->Output().find("event=ready") != std::string::npos) ++count;
    return count;
  }

  void Record(const std::string& text) {
    const auto since_start = steady_clock::now() - started_at_;
    record_ << ToMs(since_start) << " ms  " << text << std::endl;
  }

  /// Called for each opening that an upstream takes, with the time at which its
  /// caller first sent it.
  std::function<void(const soak::simulated_upstream&, const std::string&,
                     time_point)>
      on_opening;
  time_point edited_at() const { return edited_at_; }
  const soak::simulated_upstream& upstream(size_t index) const {
    return *upstreams_.at(index);
  }
  uint64_t served() const { return observations_.served; }
  uint64_t failed() const { return observations_.failed; }

 private:
  static constexpr const char* kServiceName = "198.51.100.1:7000";

  uint32_t AddressOf(int group, int index) const {
    return network_ + static_cast<uint32_t>(group * 0x40 + index + 1);
  }

  std::unique_ptr<soak::simulated_upstream> MakeUpstream(
      int index, uint64_t id, const std::string& service) {
    auto upstream = std::make_unique<soak::simulated_upstream>(
        io_, observations_, AddressOf(1, index), id, service, kDomain);
    upstream->on_opening = [this](const soak::simulated_upstream& receiver,
                                  const direct_packet& packet,
                                  uint32_t balancer_address) {
      HandleOpening(receiver, packet, balancer_address);
    };
    upstream->on_unknown_flow = [](const auto&, const auto&) {};
    return upstream;
  }

  void HandleOpening(const soak::simulated_upstream& receiver,
                     const direct_packet& packet, uint32_t balancer_address) {
    const std::string text = "opening of " + ToString(packet.flow.caller) +
                             " for " + ToString(packet.flow.service) +
                             " taken by an upstream of " + receiver.service +
                             " from " + ToDottedAddress(balancer_address);
    Record(text);
    if (on_opening)
      on_opening(receiver, text, first_sent_at_[packet.flow.caller]);
  }

  void PutEntry(const soak::simulated_upstream& upstream) {
    json spec = platform::MakeUpstreamSpec(
        upstream.service, ToString(upstream.address), upstream.domain,
        upstream.is_draining ? "draining" : "ready");
    spec["sequence"] = heartbeat_count_;
    store_.Put("servers", "i-" + ToHex(upstream.id), spec);
  }

  /// The upstreams write their entries, unless the store is silent.
  void SendHeartbeats() {
    ++heartbeat_count_;
    for (const auto& u : upstreams_) {
      if (is_store_silent_) break;
      PutEntry(*u);
      if (has_second_writer_ && u->service == kFirstService)
        store_.Put("servers", "old-i-" + ToHex(u->id), "unreadable");
    }
    heartbeat_timer_.expires_after(kHeartbeatInterval);
    heartbeat_timer_.async_wait([this](error_code error) {
      if (!error) SendHeartbeats();
    });
  }

  /// The platform starts a process again that has ended by itself.
  void HandleEnd(size_t index) {
    const auto exit_code = balancers_.at(index)->Wait(0ms);
    if (!exit_code) return;
    ++ends_.at(index);
    const std::string output = balancers_.at(index)->Output();
    const size_t last = output.rfind("event=", output.size());
    Record("balancer " + std::to_string(index + 1) + " has ended with " +
           std::to_string(*exit_code) + ": " +
           output.substr(std::min(last, output.size()), 60));
    balancers_.at(index) = MakeBalancer(static_cast<int>(index), false);
  }

  void StartBalancer(int index, bool is_first_start) {
    balancers_.push_back(MakeBalancer(index, is_first_start));
  }

  std::unique_ptr<process> MakeBalancer(int index, bool is_first_start) {
    const auto own = [&](uint16_t port) {
      return ToString(endpoint{AddressOf(0, index), port});
    };
    json peers = json::array();
    for (int i = 0; i < kBalancerCount; ++i)
      peers.push_back(ToString(endpoint{AddressOf(0, i), kPeerPort}));
    const json settings{
        {"name", "edge-rennes-" + std::to_string(index + 1)},
        {"domain", kDomain},
        {"cores", 0.055},
        {"link_mbps", 1000.0},
        {"traffic", own(soak::kTrafficPort)},
        {"ready", own(kReadyPort)},
        {"metrics", own(kMetricsPort)},
        {"peer", own(kPeerPort)},
        {"peers", peers},
        {"first_start", is_first_start},
        {"platform", "127.0.0.1:" + std::to_string(store_.port())},
        {"drain_bound_ms", ToMs(kDrainBound)},
        {"edit_bound_ms", ToMs(kEditBound)},
        {"stop_grace_ms", ToMs(kStopGrace)}};
    const std::string file = folder_ + "/edge" + std::to_string(index);
    std::ofstream(file + ".json") << settings.dump(2) << "\n";
    setenv("RADISHYARD_SETTINGS", (file + ".json").c_str(), 1);
    return std::make_unique<process>(edge_program_, std::vector<std::string>{},
                                     file + ".log");
  }

  /// The routers: a flow's packets go to the balancer that its ports select.
  void SendToBalancer(const std::vector<uint8_t>& bytes,
                      const endpoint& source) {
    const bool is_new =
        first_sent_at_.try_emplace(source, steady_clock::now()).second;
    const endpoint to{AddressOf(0, source.port % kBalancerCount),
                      soak::kTrafficPort};
    if (is_new)
      Record("opening of " + ToString(source) + " sent to " +
             ToDottedAddress(to.address));
    error_code ignored;
    sender_.send_to(
        asio::buffer(bytes),
        asio::ip::udp::endpoint(asio::ip::address_v4(to.address), to.port), 0,
        ignored);
  }

  void StartCaller(int index) {
    const auto caller = std::make_shared<soak::simulated_caller>(
        io_, observations_, AddressOf(2, index),
        endpoint{kServiceAddress, kServicePort}, false,
        [this](const std::vector<uint8_t>& bytes, const endpoint& source) {
          SendToBalancer(bytes, source);
        },
        static_cast<uint32_t>(index + 1));
    caller->is_reset_violation = [](const auto&, uint32_t) { return false; };
    callers_.push_back(caller);
    caller->Start();
  }

  std::string edge_program_;
  std::string folder_;
  std::ofstream record_;
  uint32_t network_;
  time_point started_at_ = steady_clock::now();
  time_point edited_at_{};
  asio::io_context io_;
  asio::signal_set signals_{io_, SIGTERM, SIGINT};
  asio::steady_timer heartbeat_timer_{io_};
  asio::ip::udp::socket sender_{
      io_, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0)};
  review_store store_;
  bool is_store_silent_ = false;
  bool has_second_writer_ = false;
  uint64_t heartbeat_count_ = 0;
  soak::run_observations observations_;
  std::vector<std::unique_ptr<soak::simulated_upstream>> upstreams_;
  std::vector<std::shared_ptr<soak::simulated_caller>> callers_;
  std::vector<std::unique_ptr<process>> balancers_;
  std::vector<int> ends_ = std::vector<int>(kBalancerCount);
  std::map<endpoint, time_point> first_sent_at_;
};

/// CONFIG: an edit that the store accepts while all is calm, 4.2 s after the
/// end of a silence of one second.
int EditAfterSilence(deployment& d, bool is_disrupted) {
  int broken = 0;
  bool is_checked = false;
  d.on_opening = [&](const soak::simulated_upstream& receiver,
                     const std::string& text, time_point sent_at) {
    const duration age = sent_at - d.edited_at();
    if (!is_checked || age <= kEditBound || receiver.service != kFirstService)
      return;
    ++broken;
    d.Record("BROKEN, sent " + std::to_string(ToMs(age)) +
             " ms after the edit: " + text);
  };
  d.RunFor(2s);
  d.EditTable(4, kFirstService);
  if (is_disrupted) d.SetStoreSilent(true);
  d.RunFor(1s);
  if (is_disrupted) d.SetStoreSilent(false);
  d.RunFor(kStableWindow + 200ms);
  d.EditTable(5, kSecondService);
  is_checked = true;
  d.RunFor(8s);
  return broken;
}

/// ROUTE: another writer's entry without `version` and `born`, whose name ends
/// in the id of an upstream of the second service.
int ForeignEntry(deployment& d, bool is_disrupted) {
  int broken = 0;
  d.on_opening = [&](const soak::simulated_upstream& receiver,
                     const std::string& text, time_point) {
    if (receiver.service == kFirstService) return;
    ++broken;
    d.Record("BROKEN, no table sends this address there: " + text);
  };
  d.RunFor(2s);
  const soak::simulated_upstream& other = d.upstream(1);
  json spec = platform::MakeUpstreamSpec(kFirstService, ToString(other.address),
                                         other.domain);
  spec.erase("version");
  spec.erase("born");
  if (is_disrupted) d.PutForeignEntry("old-i-" + ToHex(other.id), spec);
  d.RunFor(36s);
  return broken;
}

/// Kills all balancers, starts them again, and checks RECOVER.
bool IsRecovered(deployment& d) {
  d.Record("before the kill: served " + std::to_string(d.served()) +
           ", failed " + std::to_string(d.failed()));
  d.RestartBalancers();
  d.RunFor(kRecoveryBound);
  const uint64_t served_until_bound = d.served();
  const uint64_t failed_until_bound = d.failed();
  d.RunFor(kMeasuredTime);
  const uint64_t served = d.served() - served_until_bound;
  const uint64_t failed = d.failed() - failed_until_bound;
  d.Record("from 12 s after the restart on: served " + std::to_string(served) +
           ", failed " + std::to_string(failed) +
           "; balancers ready: " + std::to_string(d.CountReadyBalancers()));
  const bool is_recovered = served > 0 && served * 4 >= served + failed;
  if (!is_recovered)
    d.Record("BROKEN (RECOVER), less than a quarter is served");
  return is_recovered;
}

/// RECOVER, and DRAIN before it: another writer's entry of almost 1 MB, whose
/// list of finalizers is longer than 64 KB.
int OddEntry(deployment& d, bool is_disrupted) {
  int broken = 0;
  time_point drained_at = time_point::max();
  d.on_opening = [&](const soak::simulated_upstream& receiver,
                     const std::string& text, time_point) {
    const time_point now = steady_clock::now();
    if (!receiver.is_draining || now < drained_at + kDrainBound) return;
    ++broken;
    d.Record("BROKEN (DRAIN), " + std::to_string(ToMs(now - drained_at)) +
             " ms after the store accepted its drain: " + text);
  };
  d.RunFor(2s);
  constexpr int kFinalizers = 5000, kSpecBytes = 930'000;
  json finalizers = json::array();
  for (int i = 0; i < kFinalizers; ++i)
    finalizers.push_back("inventory/" + std::to_string(i));
  if (is_disrupted)
    d.PutForeignEntry("asset-17", std::string(kSpecBytes, 'x'), finalizers);
  d.RunFor(26s);
  d.DrainUpstream(0);
  drained_at = steady_clock::now();
  d.RunFor(8s);
  drained_at = time_point::max();
  return broken + (IsRecovered(d) ? 0 : 1);
}

/// RECOVER: another writer's unreadable entries, each named after the id of an
/// upstream, and written as often as the upstreams write theirs.
int UnreadableEntries(deployment& d, bool is_disrupted) {
  d.RunFor(6s);
  if (is_disrupted) d.StartSecondWriter();
  return IsRecovered(d) ? 0 : 1;
}

/// Fault: lists whose header announces a body that is too long.
int MalformedLists(deployment& d, bool is_disrupted) {
  constexpr int kLists = 12, kEndsAllowed = 2;
  d.RunFor(3s);
  if (is_disrupted) d.MalformLists(kLists);
  for (int i = 0; i < 40 && (i < 10 || d.malformed_lists_left() > 0); ++i)
    d.RunFor(1s);
  int broken = 0;
  for (size_t i = 0; i < kBalancerCount; ++i) {
    d.Record("balancer " + std::to_string(i + 1) + " has ended by itself " +
             std::to_string(d.ends(i)) + " times");
    if (d.ends(i) > kEndsAllowed) ++broken;
  }
  return broken == kBalancerCount ? broken : 0;
}

int Main(const std::vector<std::string>& arguments) {
  if (arguments.size() != 4) return kExitNotRun;
  const char* const trouble = std::getenv("TROUBLE");
  const bool is_disrupted = trouble == nullptr || std::string(trouble) != "0";
  deployment d(arguments[1], arguments[2], arguments[3]);
  d.Start();
  const auto run = arguments[0] == "edit-after-silence" ? EditAfterSilence
                   : arguments[0] == "foreign-entry"    ? ForeignEntry
                   : arguments[0] == "unreadable"       ? UnreadableEntries
                   : arguments[0] == "malformed-lists"  ? MalformedLists
                                                        : OddEntry;
  const int broken = run(d, is_disrupted);
  const std::string result = "requests served " + std::to_string(d.served()) +
                             ", failed " + std::to_string(d.failed()) +
                             ", breaks of the rule " + std::to_string(broken);
  d.Record(result);
  std::cout << result << "\n";
  if (d.served() == 0) return kExitNotRun;
  return broken > 0 ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace radishyard::review

int main(int argc, char** argv) {
  try {
    return radishyard::review::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "review_scene: " << error.what() << "\n";
    return 2;
  }
}
