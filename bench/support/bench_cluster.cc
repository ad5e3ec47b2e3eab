// Starts the controllers of a cluster, and reads their state.
#include "support/bench_cluster.h"

#include <unistd.h>

#include <algorithm>

#include "roster/roster_json.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr size_t kFirstPort = 20000;  // Below the ephemeral ports.
constexpr size_t kEndPort = 32000;

bool IsFree(asio::io_context& io, uint16_t port) {
  asio::ip::tcp::acceptor acceptor(io);
  error_code error;
  acceptor.open(asio::ip::tcp::v4(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

// Returns the first of `count` consecutive free ports. The search starts
// at a port that depends on the process id, so that processes that run
// side by side choose different ports.
uint16_t FindFreePorts(asio::io_context& io, size_t count) {
  const size_t start_count = kEndPort - kFirstPort - count;
  size_t first = kFirstPort + static_cast<size_t>(getpid()) * 128 % start_count;
  size_t found = 0;
  while (found < count) {
    if (first + count > kEndPort) first = kFirstPort;
    const auto port = static_cast<uint16_t>(first + found);
    if (IsFree(io, port)) {
      ++found;
    } else {
      first += found + 1;
      found = 0;
    }
  }
  return static_cast<uint16_t>(first);
}

settings MakeSettings(const member& m) {
  settings config;
  config.name = m.id.name;
  config.domain = m.domain;
  config.data = m.data;
  config.control = m.control;
  config.admin = m.admin;
  return config;
}

}  // namespace

bench_cluster::bench_cluster(const cluster_size& size) : store_(io_) {
  const uint16_t base_port = FindFreePorts(io_, size.balancers);
  const service_table table = MakeServiceTable(size.services, size.domains);
  for (const auto& [name, record] : table.records)
    store_.Set(ToServiceKey(name),
               ToRecordJson(record->value, record->edit_id));
  for (size_t d = 0; d < size.domains; ++d) {
    const roster r = MakeRoster(table, d, size.members, base_port);
    store_.Set(roster_cache::KeyOf(r.domain), ToJson(r));
  }
  for (size_t i = 0; i < size.balancers; ++i) {
    auto b = std::make_unique<balancer>();
    const member self = MakeMember(0, i, base_port);
    b->control = std::make_unique<controller>(io_, store_, MakeSettings(self),
                                              self.id.incarnation, b->traffic);
    b->control->Start();
    balancers_.push_back(std::move(b));
  }
}

duration bench_cluster::RunUntil(const std::function<bool()>& done,
                                 duration timeout) {
  const time_point started_at = std::chrono::steady_clock::now();
  while (!done()) {
    if (std::chrono::steady_clock::now() - started_at >= timeout)
      return timeout;
    io_.run_for(1ms);
  }
  return std::chrono::steady_clock::now() - started_at;
}

bool bench_cluster::HasMessageFromAll(const balancer& receiver) const {
  return std::ranges::all_of(balancers_, [&receiver](const auto& other) {
    return other.get() == &receiver ||
           receiver.control->hub().LastMessageAt(other->control->self().id);
  });
}

bool bench_cluster::WaitUntilConnected(duration timeout) {
  const auto is_connected = [this] {
    return std::ranges::all_of(
        balancers_, [this](const auto& b) { return HasMessageFromAll(*b); });
  };
  if (RunUntil(is_connected, timeout) >= timeout) return false;
  store_.ExpireWatches();  // New watches are started by the delegates only.
  Run(200ms);
  return true;
}

uint64_t bench_cluster::BytesSent() const {
  uint64_t bytes = 0;
  for (const auto& b : balancers_)
    bytes += b->control->hub().counters().bytes_sent;
  return bytes;
}

uint64_t bench_cluster::MessagesSent() const {
  uint64_t messages = 0;
  for (const auto& b : balancers_)
    messages += b->control->hub().counters().messages_sent;
  return messages;
}

uint64_t bench_cluster::VersionAt(size_t index,
                                  const std::string& service) const {
  const auto& records = ControllerAt(index).table().records;
  const auto found = records.find(service);
  return found == records.end() ? 0 : found->second->version;
}

}  // namespace radishyard
