// Implements the stand-ins and starts the processes.
#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace review {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using radishyard::error_code;
using udp = asio::ip::udp;

/// The published address of the service: 198.18.0.1:443, in headers only.
constexpr uint32_t kServiceAddress = 0xC6120001;
constexpr uint16_t kServicePort = 443;
constexpr uint32_t kFirstCallerHost = 100;
constexpr uint32_t kCallers = 20;
constexpr milliseconds kHeartbeat = 1200ms;
constexpr milliseconds kReadinessInterval = 500ms;
constexpr milliseconds kWork = 10ms;
constexpr size_t kRequestBytes = 100;
constexpr size_t kResponseBytes = 200;
constexpr size_t kIdBytes = 8;
/// A reset of an open flow counts within this distance of the last `ack`.
constexpr uint32_t kResetWindow = 76'800;

std::string ToText(uint32_t address) {
  return asio::ip::address_v4(address).to_string();
}

std::string ToText(uint32_t address, uint16_t port) {
  return ToText(address) + ":" + std::to_string(port);
}

std::string ToHex(uint64_t id) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%llx",
                static_cast<unsigned long long>(id));
  return text.data();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// An address block of this run: 127.X.Y.0, X from 64 and up.
uint32_t SelectBase() {
  const auto pid = static_cast<uint32_t>(getpid());
  return 0x7F000000U | (64 + pid % 128) << 16 | (pid / 128 % 256) << 8;
}

std::unique_ptr<udp::socket> Bind(asio::io_context& io, uint32_t address,
                                  uint16_t port) {
  auto socket = std::make_unique<udp::socket>(
      io, udp::endpoint(asio::ip::address_v4(address), port));
  socket->non_blocking(true);
  socket->set_option(udp::socket::receive_buffer_size(1 << 20));
  return socket;
}

/// Starts a program whose output goes to a file. It ends with this process.
pid_t Spawn(const std::string& program, const std::string& settings,
            const std::string& log) {
  const pid_t pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  setenv("RADISHYARD_SETTINGS", settings.c_str(), 1);
  execl(program.c_str(), program.c_str(), nullptr);
  _exit(127);
}

}  // namespace

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

world::world(std::string program, const std::string& folder, const bounds& b)
    : limits(b),
      program_(std::move(program)),
      record_(folder + "/record.txt"),
      base_(SelectBase()) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  log_folder_ = name;
  store_ = std::make_unique<radishyard::platform::store_stand_in>(io_, 0);
  for (uint32_t i = 0; i < kCallers; ++i) {
    const uint32_t address = Address(kFirstCallerHost + i);
    caller_sockets_[address] = Bind(io_, address, kTrafficPort);
    ReceiveAtCaller(address);
  }
  CheckAll();
  Beat();
}

world::~world() {
  for (const auto& vm : edges_) Kill(*vm, 0ms);
  error_code ignored;
  for (auto& [address, socket] : caller_sockets_) socket->close(ignored);
  std::error_code removed;
  std::filesystem::remove_all(log_folder_, removed);
}

int64_t world::Ms(time_point at) const {
  return std::chrono::duration_cast<milliseconds>(at - started_).count();
}

void world::Record(const std::string& line) {
  record_ << Ms(clock::now()) << " ms " << line << std::endl;
}

void world::RunFor(milliseconds time) { io_.run_for(time); }

bool world::RunUntil(const std::function<bool()>& is_done, milliseconds limit) {
  const time_point end = clock::now() + limit;
  while (!is_done()) {
    if (clock::now() > end) return false;
    io_.run_for(5ms);
  }
  return true;
}

// VMs.

edge& world::AddEdge(const std::string& name, const std::string& zone,
                     double cores) {
  edges_.push_back(std::make_unique<edge>());
  edge& vm = *edges_.back();
  vm.name = name;
  vm.zone = zone;
  vm.cores = cores;
  vm.address = Address(static_cast<uint32_t>(edges_.size()));
  vm.to_store = std::make_shared<relay>(io_, store_->port());
  vm.to_store->Accept();
  return vm;
}

json world::MakeSettings(const edge& vm) const {
  json seeds = json::array();
  // The seeds come with their control port; the program puts its own in.
  for (const auto& other : edges_)
    if (seeds.size() < 3) seeds.push_back(ToText(other->address, 8166));
  json settings = {{"name", vm.name},
                   {"domain", vm.zone},
                   {"cores", vm.cores},
                   {"link_mbps", 100},
                   {"traffic", ToText(vm.address, kTrafficPort)},
                   {"ready", ToText(vm.address, kReadyPort)},
                   {"metrics", ToText(vm.address, kMetricsPort)},
                   {"peer", ToText(vm.address, kPeerPort)},
                   {"peers", seeds},
                   {"first_start", false},
                   {"platform", ToText(INADDR_LOOPBACK, vm.to_store->port())},
                   {"drain_bound_ms", limits.drain_ms},
                   {"edit_bound_ms", limits.edit_ms},
                   {"spill_over", true},
                   {"admission", true},
                   {"stop_grace_ms", 6000}};
  // A site without these bounds has none of these settings.
  if (limits.evacuate_ms == 0) return settings;
  settings["evacuation_bound_ms"] = limits.evacuate_ms;
  settings["start_overage"] = limits.cold_overage;
  settings["start_slack"] = limits.cold_slack;
  return settings;
}

void world::CutFromStore(edge& vm, bool is_cut) {
  vm.to_store->SetCut(is_cut);
  Record("network: " + vm.name +
         (is_cut ? " is cut off from the store" : " reaches the store again"));
}

void world::Start(edge& vm) {
  const std::string path = log_folder_ + "/" + vm.name;
  std::ofstream(path + ".json") << MakeSettings(vm).dump(2) << "\n";
  vm.pid = Spawn(program_, path + ".json", path + ".log");
  Record("platform: starts " + vm.name + " at " + ToText(vm.address));
}

void world::Kill(edge& vm, milliseconds dark) {
  if (vm.pid > 0) {
    kill(vm.pid, SIGKILL);
    waitpid(vm.pid, nullptr, 0);
    vm.pid = -1;
    Record("platform: " + vm.name + " is killed");
  }
  if (dark == 0ms) return;
  vm.restart = std::make_unique<asio::steady_timer>(io_, dark);
  vm.restart->async_wait([this, &vm](error_code error) {
    if (!error) Start(vm);
  });
}

void world::CheckAll() {
  for (const auto& vm : edges_) CheckReadiness(*vm);
  readiness_timer_.expires_after(kReadinessInterval);
  readiness_timer_.async_wait([this](error_code error) {
    if (!error) CheckAll();
  });
}

/// GET /readiness, as the routers send it. An answer that is not there after
/// the interval is a miss.
void world::CheckReadiness(edge& vm) {
  struct check {
    explicit check(asio::io_context& io) : socket(io), timer(io) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 64> answer{};
    bool is_done = false;
  };
  const auto one = std::make_shared<check>(io_);
  const auto finish = [this, one, &vm](bool is_ready) {
    if (std::exchange(one->is_done, true)) return;
    error_code ignored;
    one->socket.close(ignored);
    one->timer.cancel();
    const bool was_in = IsInRotation(vm);
    vm.misses = is_ready ? 0 : vm.misses + 1;
    if (IsInRotation(vm) != was_in)
      Record("router: " + vm.name + (was_in ? " leaves" : " joins") +
             " the rotation");
  };
  one->timer.expires_after(kReadinessInterval - 50ms);
  one->timer.async_wait([finish](error_code error) {
    if (!error) finish(false);
  });
  one->socket.async_connect(
      {asio::ip::address_v4(vm.address), kReadyPort},
      [one, finish](error_code error) {
        if (error) return finish(false);
        constexpr std::string_view kRequest =
            "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        error_code failed;
        asio::write(one->socket, asio::buffer(kRequest), failed);
        one->socket.async_read_some(
            asio::buffer(one->answer),
            [one, finish](error_code read_error, size_t size) {
              const std::string_view text(one->answer.data(), size);
              finish(!read_error && text.starts_with("HTTP/1.1 200"));
            });
      });
}

const edge* world::SelectEdge(const std::string& zone, uint32_t caller,
                              uint16_t port) const {
  std::vector<const edge*> rotation;
  std::vector<const edge*> all;
  for (const auto& vm : edges_) {
    if (vm->zone != zone) continue;
    all.push_back(vm.get());
    if (IsInRotation(*vm)) rotation.push_back(vm.get());
  }
  // Fewer than half are in rotation: the routers use all.
  const auto& used = rotation.size() * 2 < all.size() ? all : rotation;
  if (used.empty()) return nullptr;
  const uint32_t hash = (caller * 2'654'435'761U) ^ (port * 40'503U);
  return used[(hash >> 4) % used.size()];
}

// The store and the operator.

time_point world::Write(const std::string& kind, const std::string& name,
                        const json& spec) {
  store_->Put(kind, name, spec);
  Record("operator: writes " + kind + "/" + name + ", acknowledged");
  return clock::now();
}

void world::Remove(const std::string& kind, const std::string& name) {
  store_->Delete(kind, name);
  Record("operator: removes " + kind + "/" + name);
}

void world::ReturnStoreFromCopy() {
  store_->ReturnFromCopy();
  Record("store: returned from a copy, era " + std::to_string(store_->era()) +
         ", revision " + std::to_string(store_->revision()));
}

// Upstreams.

upstream& world::AddUpstream(uint64_t id, const std::string& service,
                             const std::string& zone) {
  upstreams_.push_back(std::make_unique<upstream>());
  upstream& server = *upstreams_.back();
  server.id = id;
  server.service = service;
  server.zone = zone;
  server.address = Address(50 + static_cast<uint32_t>(upstreams_.size()));
  server.socket = Bind(io_, server.address, kUpstreamPort);
  Receive(server);
  return server;
}

void world::Start(upstream& server, milliseconds cold) {
  server.born = UnixMs();
  server.born_at = clock::now();
  server.cold_from = server.born_at;
  server.cold_until = server.born_at + cold;
  server.sequence = 0;
  server.is_up = true;
  server.flows.clear();
  Record("upstream " + ToHex(server.id) + ": starts, born " +
         std::to_string(server.born) + ", cold for " +
         std::to_string(cold.count()) + " ms");
  Register(server);
}

void world::BecomeCold(upstream& server, milliseconds cold) {
  server.cold_from = clock::now();
  server.cold_until = server.cold_from + cold;
  Record("upstream " + ToHex(server.id) + ": becomes cold for " +
         std::to_string(cold.count()) + " ms, born as before");
  Register(server);
}

void world::Crash(upstream& server) {
  server.is_up = false;
  server.flows.clear();
  Record("upstream " + ToHex(server.id) + ": is down");
}

void world::Expire(upstream& server) {
  store_->Delete("servers", "i-" + ToHex(server.id));
  Record("store: the entry of " + ToHex(server.id) + " has expired");
}

void world::Register(upstream& server) {
  if (!server.is_up || !server.reaches_store) return;
  server.last_beat = clock::now();
  const int64_t cold_ms = std::max<int64_t>(
      0,
      std::chrono::duration_cast<milliseconds>(server.cold_until - clock::now())
          .count());
  store_->Put("servers", "i-" + ToHex(server.id),
              {{"service", server.service},
               {"address", ToText(server.address, kUpstreamPort)},
               {"zone", server.zone},
               {"version", "v1"},
               {"slots", 2},
               {"state", "ready"},
               {"coldRemainingMs", cold_ms},
               {"sequence", ++server.sequence},
               {"born", server.born}});
}

void world::Beat() {
  for (const auto& server : upstreams_) Register(*server);
  beat_timer_.expires_after(kHeartbeat);
  beat_timer_.async_wait([this](error_code error) {
    if (!error) Beat();
  });
}

void world::Receive(upstream& server) {
  server.socket->async_wait(
      udp::socket::wait_read, [this, &server](error_code error) {
        if (error) return;
        std::array<uint8_t, 2048> buffer{};
        udp::endpoint from;
        error_code failed;
        for (;;) {
          const size_t size = server.socket->receive_from(asio::buffer(buffer),
                                                          from, 0, failed);
          if (failed) break;
          if (size < kIdBytes || !server.is_up) continue;
          const uint64_t id = __builtin_bswap64(Take<uint64_t>(buffer, 0));
          if (id != 0 && id != server.id) continue;
          const auto p =
              Decode(std::span(buffer).subspan(kIdBytes, size - kIdBytes));
          if (p) Handle(server, *p, from.address().to_v4().to_uint());
        }
        Receive(server);
      });
}

void world::SendToCaller(upstream& server, const packet& in, uint8_t flags,
                         uint32_t sequence, std::vector<uint8_t> data) {
  packet out;
  out.echo = in.echo;
  out.flags = flags;
  out.source = in.destination;
  out.source_port = in.destination_port;
  out.destination = in.source;
  out.destination_port = in.source_port;
  out.sequence = sequence;
  out.acknowledged = in.sequence + static_cast<uint32_t>(in.data.size()) +
                     ((in.flags & (kSyn | kFin)) != 0 ? 1 : 0);
  out.data = std::move(data);
  error_code ignored;
  server.socket->send_to(
      asio::buffer(Encode(out)),
      udp::endpoint(asio::ip::address_v4(in.source), kTrafficPort), 0, ignored);
}

void world::Handle(upstream& server, const packet& p, uint32_t from) {
  const flow_id id(p.source, p.source_port);
  const auto found = server.flows.find(id);
  if ((p.flags & kSyn) != 0) {
    if (found == server.flows.end()) {
      upstream::flow flow;
      flow.sequence = static_cast<uint32_t>(random_());
      flow.arrived = clock::now();
      for (const auto& vm : edges_)
        if (vm->address == from) flow.via = vm->name;
      server.flows[id] = flow;
    }
    return SendToCaller(server, p, kSyn | kAck, server.flows[id].sequence, {});
  }
  if ((p.flags & kRst) != 0) {
    server.flows.erase(id);
    return;
  }
  if (found == server.flows.end()) {
    const bool is_end = (p.flags & kFin) != 0;
    if (is_end) return SendToCaller(server, p, kAck, p.acknowledged, {});
    if (!p.data.empty()) SendToCaller(server, p, kRst, p.acknowledged, {});
    return;
  }
  upstream::flow& flow = found->second;
  if (!flow.is_open && p.acknowledged == flow.sequence + 1) {
    flow.is_open = true;
    openings_.push_back({server.id, server.zone, server.born, first_sent_[id],
                         flow.arrived, flow.via});
  }
  if (!flow.is_open) return;
  if (!p.data.empty() && !flow.has_run) {
    flow.has_run = true;
    ++totals_["requests run"];
    const auto timer = std::make_shared<asio::steady_timer>(io_, kWork);
    timer->async_wait([this, timer, &server, p, id](error_code error) {
      const auto still = server.flows.find(id);
      if (error || !server.is_up || still == server.flows.end()) return;
      SendToCaller(server, p, kAck, still->second.sequence + 1,
                   std::vector<uint8_t>(kResponseBytes, 'r'));
    });
  }
  if ((p.flags & kFin) != 0) {
    SendToCaller(server, p, kFin | kAck, p.acknowledged, {});
    server.flows.erase(id);
  }
}

// Callers.

void world::StartTraffic(const std::string& zone, int per_second) {
  Record("callers of " + zone + ": " + std::to_string(per_second) +
         " flows a second");
  traffic_timers_.push_back(std::make_unique<asio::steady_timer>(io_));
  Tick(zone, per_second);
}

void world::Tick(const std::string& zone, int per_second) {
  OpenFlow(zone);
  asio::steady_timer& timer = *traffic_timers_.front();
  timer.expires_after(std::chrono::microseconds(1'000'000 / per_second));
  timer.async_wait([this, zone, per_second](error_code error) {
    if (!error) Tick(zone, per_second);
  });
}

void world::OpenFlow(const std::string& zone) {
  caller_flow flow;
  flow.caller = Address(kFirstCallerHost + next_caller_++ % kCallers);
  flow.port = next_port_++;
  if (next_port_ == 60'000) next_port_ = 20'000;
  flow.zone = zone;
  flow.sequence = static_cast<uint32_t>(random_());
  flow.sent = clock::now();
  flow.timer = std::make_unique<asio::steady_timer>(io_);
  const flow_id id(flow.caller, flow.port);
  first_sent_[id] = flow.sent;
  sent_.push_back(flow.sent);
  ++totals_["flows begun"];
  caller_flows_[id] = std::move(flow);
  SendOpening(caller_flows_[id]);
}

/// Sends the opening, its copies after 200 and 600 ms, and gives up after 1.4
/// s.
void world::SendOpening(caller_flow& flow) {
  constexpr std::array<milliseconds, 3> kPauses{200ms, 400ms, 800ms};
  const flow_id id(flow.caller, flow.port);
  if (flow.copies == kPauses.size()) {
    ++totals_["flows that never opened"];
    caller_flows_.erase(id);
    return;
  }
  flow.acknowledged = flow.copies;
  SendFromCaller(flow, kSyn, flow.sequence, {});
  flow.timer->expires_after(kPauses.at(flow.copies++));
  flow.timer->async_wait([this, id](error_code error) {
    const auto found = caller_flows_.find(id);
    if (error || found == caller_flows_.end() || found->second.is_open) return;
    SendOpening(found->second);
  });
}

void world::SendRequest(caller_flow& flow, uint32_t tries) {
  constexpr uint32_t kMostTries = 4;
  const flow_id id(flow.caller, flow.port);
  if (tries == kMostTries) {
    ++totals_["requests without an answer"];
    caller_flows_.erase(id);
    return;
  }
  SendFromCaller(flow, kAck, flow.sequence + 1,
                 std::vector<uint8_t>(kRequestBytes, 'q'));
  flow.timer->expires_after(200ms * (1 << tries));
  flow.timer->async_wait([this, id, tries](error_code error) {
    const auto found = caller_flows_.find(id);
    if (!error && found != caller_flows_.end())
      SendRequest(found->second, tries + 1);
  });
}

void world::SendFromCaller(const caller_flow& flow, uint8_t flags,
                           uint32_t sequence, std::vector<uint8_t> data) {
  const edge* const vm = SelectEdge(flow.zone, flow.caller, flow.port);
  if (vm == nullptr) return;
  packet p;
  p.echo = (flags & kSyn) != 0 ? 0 : flow.echo;
  p.flags = flags;
  p.source = flow.caller;
  p.source_port = flow.port;
  p.destination = kServiceAddress;
  p.destination_port = kServicePort;
  p.sequence = sequence;
  p.acknowledged = flow.acknowledged;
  p.data = std::move(data);
  error_code ignored;
  caller_sockets_[flow.caller]->send_to(
      asio::buffer(Encode(p)),
      udp::endpoint(asio::ip::address_v4(vm->address), kTrafficPort), 0,
      ignored);
}

void world::ReceiveAtCaller(uint32_t address) {
  udp::socket& socket = *caller_sockets_[address];
  socket.async_wait(
      udp::socket::wait_read, [this, &socket, address](error_code error) {
        if (error) return;
        std::array<uint8_t, 2048> buffer{};
        udp::endpoint from;
        error_code failed;
        for (;;) {
          const size_t size =
              socket.receive_from(asio::buffer(buffer), from, 0, failed);
          if (failed) break;
          if (const auto p = Decode(std::span(buffer).first(size)))
            HandleAtCaller(*p);
        }
        ReceiveAtCaller(address);
      });
}

void world::HandleAtCaller(const packet& p) {
  const auto found = caller_flows_.find({p.destination, p.destination_port});
  if (found == caller_flows_.end()) return;
  caller_flow& flow = found->second;
  if ((p.flags & kRst) != 0) {
    const uint32_t distance = p.sequence - flow.acknowledged + kResetWindow;
    if (flow.is_open && distance > 2 * kResetWindow) return;
    ++totals_[flow.is_open ? "flows reset" : "flows refused"];
    caller_flows_.erase(found);
    return;
  }
  if ((p.flags & kSyn) != 0) {
    if (flow.is_open || p.acknowledged != flow.sequence + 1) return;
    flow.is_open = true;
    flow.echo = p.echo;
    flow.acknowledged = p.sequence + 1;
    return SendRequest(flow, 0);
  }
  if (!flow.is_open || p.data.empty()) return;
  ++totals_["requests answered"];
  flow.acknowledged = p.sequence + static_cast<uint32_t>(p.data.size());
  const uint32_t end = flow.sequence + 1 + kRequestBytes;
  SendFromCaller(flow, kAck, end, {});
  SendFromCaller(flow, kFin | kAck, end, {});
  caller_flows_.erase(found);
}

// The record.

void world::RecordLogLines(const std::string& text) {
  for (const auto& vm : edges_) {
    std::ifstream log(log_folder_ + "/" + vm->name + ".log");
    for (std::string line; std::getline(log, line);)
      if (line.find(text) != std::string::npos)
        record_ << "log of " << vm->name << ": " << line << "\n";
  }
}

void world::RecordTotals() {
  for (const opening& each : openings_)
    record_ << "flow: sent " << Ms(each.sent) << " ms, taken by upstream "
            << ToHex(each.upstream) << " at " << Ms(each.arrived) << " ms via "
            << each.via << "\n";
  for (const auto& [name, count] : totals_)
    record_ << "total: " << name << " " << count << "\n";
  record_ << "total: flows that an upstream took " << openings_.size()
          << std::endl;
}

busiest_second FindBusiestColdSecond(const world& w, const upstream& server) {
  std::vector<opening> cold;
  for (const opening& each : w.openings())
    if (each.upstream == server.id && each.sent >= server.cold_from &&
        each.arrived < server.cold_until)
      cold.push_back(each);
  std::sort(cold.begin(), cold.end(),
            [](const auto& a, const auto& b) { return a.sent < b.sent; });
  busiest_second most;
  for (const opening& first : cold) {
    const auto count = static_cast<size_t>(
        std::count_if(cold.begin(), cold.end(), [&first](const auto& each) {
          return each.sent >= first.sent && each.arrived < first.sent + 1s;
        }));
    if (count > most.openings) most = {count, first.sent};
  }
  return most;
}

bool RecordColdSecond(world& w, const upstream& server,
                      double cold_per_second) {
  const double limit =
      cold_per_second * w.limits.cold_overage + w.limits.cold_slack;
  const busiest_second most = FindBusiestColdSecond(w, server);
  std::map<std::string, int> by_edge;
  for (const opening& each : w.openings())
    if (each.upstream == server.id && each.sent >= most.from &&
        each.arrived < most.from + 1s)
      ++by_edge[each.via];
  std::string via;
  for (const auto& [name, count] : by_edge)
    via += " " + std::to_string(count) + " via " + name;
  const bool exceeds = static_cast<double>(most.openings) > limit;
  w.Record("judge: cold upstream " + ToHex(server.id) + " took " +
           std::to_string(most.openings) + " openings in the second from " +
           std::to_string(w.Ms(most.from)) + " ms:" + via + "; limit " +
           std::to_string(limit) + (exceeds ? ", FAILBACK broken" : ""));
  return exceeds;
}

json MakeConfig(milliseconds cold_start, double cold_per_second,
                const std::string& service) {
  return {{"version", 3},
          {"routes",
           {{{"name", "r-1"},
             {"host", "198.18.0.1"},
             {"pathPrefix", "/443/"},
             {"routeType", "idempotent"},
             {"timeoutMs", 2000},
             {"targetLatencyMs", 500},
             {"priority", 2},
             {"service", service},
             {"attempts", 2}}}},
          {"services",
           {{{"name", service},
             {"healthPath", "/health"},
             {"maxConnections", 2000},
             {"coldStartS", static_cast<double>(cold_start.count()) / 1000},
             {"coldPerS", cold_per_second}}}},
          {"limits", {{"idleTimeoutMs", 15000}}}};
}

int RunCase(int argc, const char** argv,
            int (*run)(const std::string& program, const std::string& folder)) {
  if (argc != 3) return kCouldNotRun;
  try {
    return run(argv[1], argv[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace review
