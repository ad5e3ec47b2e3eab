// Implements the world of a case.
#include "world.h"

#include <signal.h>
#include <stdlib.h>

#include <fstream>
#include <thread>
#include <utility>

namespace review {
namespace {

using udp = asio::ip::udp;
using tcp = asio::ip::tcp;
using nlohmann::json;

constexpr uint32_t kNet = 0x7F4D0000;  // 127.77.0.0
constexpr uint32_t kEdgeNet = kNet + 0x100;
constexpr uint32_t kServerNet = kNet + 0x200;
constexpr uint32_t kCallerNet = kNet + 0x300;
constexpr uint16_t kTraffic = 0;
constexpr uint16_t kReady = 1;
constexpr uint16_t kPeer = 2;
constexpr uint16_t kMetrics = 3;
constexpr uint16_t kServerPort = 4;
constexpr uint64_t kFirstServerId = 0x5a3c91f204;
constexpr millis kPollInterval{500};
constexpr int kMissesUntilOut = 2;
constexpr millis kStartTimeout{15000};

asio::ip::address_v4 ToIp(uint32_t ip) { return asio::ip::address_v4(ip); }

std::string Address(uint32_t ip, uint16_t port) { return ToText({ip, port}); }

bool IsFree(uint16_t base) {
  asio::io_context io;
  try {
    for (uint16_t i = 0; i <= kServerPort; ++i) {
      const auto port = static_cast<uint16_t>(base + i);
      const udp::socket packets(io, udp::endpoint(ToIp(kEdgeNet + 1), port));
      const tcp::acceptor pages(io, tcp::endpoint(ToIp(kEdgeNet + 1), port),
                                false);
    }
  } catch (const boost::system::system_error&) {
    return false;
  }
  return true;
}

uint16_t FindPortBase() {
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> draw(20'000, 30'000);
  auto base = static_cast<uint16_t>(draw(random));
  while (!IsFree(base)) base = static_cast<uint16_t>(draw(random));
  return base;
}

uint64_t Hash(const packet& p) {
  uint64_t hash = p.from.ip * 2654435761U;
  hash = (hash ^ p.from.port) * 0x9E3779B97F4A7C15;
  hash = (hash ^ p.to.ip ^ p.to.port) * 0x9E3779B97F4A7C15;
  return hash >> 32;
}

}  // namespace

world::world(world_options options)
    : log(options.folder + "/record.txt"),
      options_(std::move(options)),
      router_(io, udp::endpoint(ToIp(kNet + 1), 0)),
      poll_timer_(io),
      signals_(io, SIGTERM, SIGINT),
      port_base_(FindPortBase()) {
  born_ms_ = std::chrono::duration_cast<millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  signals_.async_wait([this](error_code error, int) { is_ended_ = !error; });
  SetCallerPort(port_base_ + kTraffic);
  store = std::make_unique<radishyard::platform::store_stand_in>(io, 0);
  PutTable(7);
  for (const std::string& zone : options_.server_zones) {
    const auto i = static_cast<uint32_t>(servers.size());
    servers.push_back(std::make_unique<server>(
        io, log,
        address{kServerNet + 1 + i,
                static_cast<uint16_t>(port_base_ + kServerPort)},
        kFirstServerId + i * 0x10001,
        i + options_.other_servers < options_.server_zones.size()
            ? kService
            : kOtherService,
        options_.work));
    PutServer(*servers.back(), "ready");
    log.Write("server " + servers.back()->name() + " at " +
              ToText(servers.back()->at()) + " in " + zone);
  }
  for (const std::string& zone : options_.edge_zones) {
    const auto i = static_cast<uint32_t>(edges.size());
    edges.push_back({.zone = zone, .ip = kEdgeNet + 1 + i});
  }
  for (size_t i = 0; i < edges.size(); ++i) StartEdge(i);
  SchedulePoll();
}

world::~world() {
  for (const auto& c : callers) c->Stop();
  for (edge& e : edges) e.program.reset();
}

void world::PutTable(uint64_t version) {
  const std::string host = "198.18.0.1";
  json spec = radishyard::platform::MakeTableSpec(
      version, host, kRoutePort, kService, options_.route_type);
  if (options_.other_servers > 0)
    spec["routes"].push_back(
        radishyard::platform::MakeTableSpec(version, "198.18.0.2", kRoutePort,
                                            kOtherService, "download")
            .at("routes")
            .at(0));
  store->Put("config", "main", spec);
}

void world::PutServer(const server& s, const std::string& state) {
  const size_t i = s.at().ip - kServerNet - 1;
  json spec = radishyard::platform::MakeUpstreamSpec(
      s.service(), ToText(s.at()), options_.server_zones.at(i), state,
      born_ms_);
  store->Put("servers", s.name(), spec);
}

void world::StartEdge(size_t index) {
  edge& e = edges.at(index);
  const auto at = [&](uint16_t offset) {
    return Address(e.ip, static_cast<uint16_t>(port_base_ + offset));
  };
  json seeds = json::array();
  for (size_t i = 0; i < edges.size() && i < 3; ++i)
    seeds.push_back(
        Address(edges[i].ip, static_cast<uint16_t>(port_base_ + kPeer)));
  const std::string name = "edge-" + std::to_string(index + 1);
  const json settings{{"name", name},
                      {"domain", e.zone},
                      {"cores", 0.055},
                      {"link_mbps", 1000.0},
                      {"traffic", at(kTraffic)},
                      {"ready", at(kReady)},
                      {"metrics", at(kMetrics)},
                      {"peer", at(kPeer)},
                      {"peers", seeds},
                      {"first_start", true},
                      {"platform", Address(0x7F000001, store->port())},
                      {"drain_bound_ms", 3000},
                      {"edit_bound_ms", 3000},
                      {"spill_over", true},
                      {"admission", true},
                      {"stop_grace_ms", 6000}};
  const std::string file = options_.scratch + "/" + name + ".json";
  std::ofstream(file) << settings.dump(2) << "\n";
  setenv("RADISHYARD_SETTINGS", file.c_str(), 1);
  e.program = std::make_unique<radishyard::process>(
      options_.program, std::vector<std::string>{},
      options_.scratch + "/" + name + ".log");
  log.Write("start " + name + " in " + e.zone + " at " + at(kTraffic));
}

bool world::WaitUntilReady() {
  const time_point until = steady::now() + kStartTimeout;
  while (steady::now() < until && Run(millis(100))) {
    size_t ready = 0;
    for (const edge& e : edges) ready += e.in_rotation ? 1 : 0;
    if (ready == edges.size()) return true;
  }
  return false;
}

bool world::Run(millis length) {
  asio::steady_timer end(io, length);
  bool is_over = false;
  end.async_wait([&is_over](error_code) { is_over = true; });
  while (!is_over && !is_ended_) io.run_one();
  return !is_ended_;
}

void world::At(millis wait, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(io, wait);
  timer->async_wait([timer, action = std::move(action)](error_code error) {
    if (!error) action();
  });
}

std::shared_ptr<caller> world::AddCaller(const std::string& zone,
                                         uint32_t route_ip) {
  const auto i = static_cast<uint32_t>(callers.size());
  callers.push_back(std::make_shared<caller>(
      io, log, kCallerNet + 1 + i, address{route_ip, kRoutePort},
      [this, zone](const packet& p) { Route(zone, p); }, 100 + i));
  return callers.back();
}

/// The nodes of the zone in rotation; all of its nodes if these are fewer than
/// half.
void world::Route(const std::string& zone, const packet& p) {
  std::vector<const edge*> all;
  std::vector<const edge*> used;
  for (const edge& e : edges) {
    if (e.zone != zone) continue;
    all.push_back(&e);
    if (e.in_rotation) used.push_back(&e);
  }
  if (used.size() * 2 < all.size()) used = all;
  if (used.empty()) return;
  const edge* const to = used[Hash(p) % used.size()];
  error_code ignored;
  router_.send_to(asio::buffer(Encode(p)),
                  udp::endpoint(ToIp(to->ip), port_base_ + kTraffic), 0,
                  ignored);
}

void world::SchedulePoll() {
  poll_timer_.expires_after(kPollInterval);
  poll_timer_.async_wait([this](error_code error) {
    if (error) return;
    for (size_t i = 0; i < edges.size(); ++i) PollReadiness(i);
    SchedulePoll();
  });
}

void world::PollReadiness(size_t index) {
  struct poll {
    explicit poll(asio::io_context& context)
        : socket(context), timer(context, kPollInterval) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::string request = "GET /readiness HTTP/1.1\r\nHost: edge\r\n\r\n";
    std::array<char, 512> reply{};
    bool is_done = false;
  };
  const auto call = std::make_shared<poll>(io);
  const auto finish = [this, call, index](bool is_ready) {
    if (std::exchange(call->is_done, true)) return;
    edge& e = edges.at(index);
    const bool was_used = e.in_rotation;
    e.missed = is_ready ? 0 : e.missed + 1;
    e.in_rotation = e.missed < kMissesUntilOut;
    if (was_used != e.in_rotation)
      log.Write("routers: edge-" + std::to_string(index + 1) +
                (e.in_rotation ? " in rotation" : " out of rotation"));
    error_code ignored;
    call->timer.cancel();
    call->socket.close(ignored);
  };
  call->timer.async_wait([finish](error_code error) {
    if (!error) finish(false);
  });
  const auto on_read = [call, finish](error_code error, size_t size) {
    const std::string_view text(call->reply.data(), error ? 0 : size);
    finish(text.substr(0, 12) == "HTTP/1.1 200");
  };
  const auto on_write = [call, finish, on_read](error_code error, size_t) {
    if (error) return finish(false);
    call->socket.async_read_some(asio::buffer(call->reply), on_read);
  };
  call->socket.async_connect(
      tcp::endpoint(ToIp(edges.at(index).ip), port_base_ + kReady),
      [call, finish, on_write](error_code error) {
        if (error) return finish(false);
        asio::async_write(call->socket, asio::buffer(call->request), on_write);
      });
}

}  // namespace review
