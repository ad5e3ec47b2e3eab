// Start and progress of a fleet.
#include "support/bench_cluster.h"

#include <unistd.h>

#include <algorithm>

#include "roster/roster_json.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr size_t kFirstPort = 20000;  // Below the ports of dialed connections.
constexpr size_t kEndPort = 32000;

bool IsFree(asio::io_context& io, uint16_t port) {
  asio::ip::tcp::acceptor probe(io);
  error_code error;
  probe.open(asio::ip::tcp::v4(), error);
  probe.set_option(asio::socket_base::reuse_address(true), error);
  probe.bind({asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

// The first of `count` free ports in a row. Processes begin at different
// places.
uint16_t FreePorts(asio::io_context& io, size_t count) {
  const size_t places = kEndPort - kFirstPort - count;
  size_t begin = kFirstPort + static_cast<size_t>(getpid()) * 128 % places;
  size_t found = 0;
  while (found < count) {
    if (begin + count > kEndPort) begin = kFirstPort;
    const auto port = static_cast<uint16_t>(begin + found);
    if (IsFree(io, port)) {
      ++found;
    } else {
      begin += found + 1;
      found = 0;
    }
  }
  return static_cast<uint16_t>(begin);
}

settings SettingsOf(const member& m) {
  settings config;
  config.name = m.id.name;
  config.domain = m.domain;
  config.data = m.data;
  config.control = m.control;
  config.admin = m.admin;
  return config;
}

}  // namespace

control_fleet::control_fleet(const fleet_size& size) : store_(io_) {
  const uint16_t base_port = FreePorts(io_, size.balancers);
  const service_table table = MakeTable(size.services, size.domains);
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
    b->control = std::make_unique<controller>(io_, store_, SettingsOf(self),
                                              self.id.incarnation, b->traffic);
    b->control->Start();
    balancers_.push_back(std::move(b));
  }
}

duration control_fleet::RunUntil(const std::function<bool()>& done,
                                 duration most) {
  const time_point began = std::chrono::steady_clock::now();
  while (!done()) {
    if (std::chrono::steady_clock::now() - began >= most) return most;
    io_.run_for(1ms);
  }
  return std::chrono::steady_clock::now() - began;
}

bool control_fleet::HearsAll(const balancer& at) const {
  return std::ranges::all_of(balancers_, [&at](const auto& other) {
    return other.get() == &at ||
           at.control->hub().LastMessageAt(other->control->self().id);
  });
}

bool control_fleet::Settle(duration most) {
  const auto settled = [this] {
    return std::ranges::all_of(balancers_,
                               [this](const auto& b) { return HearsAll(*b); });
  };
  if (RunUntil(settled, most) >= most) return false;
  store_.EndWatches();  // From here on only the delegates watch.
  Run(200ms);
  return true;
}

uint64_t control_fleet::BytesSent() const {
  uint64_t bytes = 0;
  for (const auto& b : balancers_)
    bytes += b->control->hub().counters().bytes_sent;
  return bytes;
}

uint64_t control_fleet::MessagesSent() const {
  uint64_t messages = 0;
  for (const auto& b : balancers_)
    messages += b->control->hub().counters().messages_sent;
  return messages;
}

uint64_t control_fleet::VersionAt(size_t index,
                                  const std::string& service) const {
  const auto& records = At(index).table().records;
  const auto found = records.find(service);
  return found == records.end() ? 0 : found->second->version;
}

}  // namespace radishyard
