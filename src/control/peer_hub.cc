// Sends heartbeats over the links that this balancer dials, and replies over
// the links that it accepts.
#include "control/peer_hub.h"

#include <algorithm>

#include "observe/log.h"
#include "roster/rendezvous.h"

namespace radishyard {
namespace {

// The heartbeat interval grows by one base interval per this number of peers.
constexpr size_t kPeersPerBaseInterval = 8;

template <typename... Fs>
struct overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

}  // namespace

uint64_t ToWireMs(time_point at) {
  return static_cast<uint64_t>(ToMs(at.time_since_epoch()));
}

time_point FromWireMs(uint64_t ms) { return AtMs(static_cast<int64_t>(ms)); }

duration peer_hub::HeartbeatInterval(duration base, size_t peers) {
  return base * static_cast<int64_t>(1 + peers / kPeersPerBaseInterval);
}

peer_hub::peer_hub(asio::io_context& io, const member& self,
                   duration base_interval, hub_handlers handlers)
    : io_(io),
      self_(self),
      base_interval_(base_interval),
      handlers_(std::move(handlers)),
      counters_(std::make_shared<peer_counters>()),
      server_(io, self.control, AcceptHandlers(), counters_) {}

link_handlers peer_hub::AcceptHandlers() {
  link_handlers handlers;
  handlers.on_open = [this](peer_link& link) { link.Send(hello{self_}); };
  handlers.on_message = [this](peer_link& link, const peer_message& message) {
    Dispatch(link, message);
  };
  handlers.on_close = [](peer_link&, const failure&) {};
  return handlers;
}

link_handlers peer_hub::DialHandlers(const member_id& id) {
  link_handlers handlers;
  handlers.on_open = [this, id](peer_link& link) {
    link.Send(hello{self_});
    const auto peer = peers_.find(id);
    if (peer == peers_.end()) return;
    peer->second.is_open = true;
    peer->second.sent_loads.clear();
    peer->second.next_heartbeat_at = {};
  };
  handlers.on_message = [this](peer_link& link, const peer_message& message) {
    Dispatch(link, message);
  };
  handlers.on_close = [this, id](peer_link&, const failure& why) {
    const auto peer = peers_.find(id);
    if (peer != peers_.end()) peer->second.is_open = false;
    Log(severity::kDebug, "peer_link_closed",
        {{"peer", id.name}, {"reason", why.text}});
  };
  return handlers;
}

void peer_hub::SetPeers(const std::vector<hub_peer>& peers) {
  std::set<member_id> wanted;
  for (const hub_peer& peer : peers) wanted.insert(peer.roster_entry.id);
  std::erase_if(peers_, [&wanted](const auto& entry) {
    return !wanted.contains(entry.first);
  });
  for (const hub_peer& peer : peers) {
    dialed_peer& dialed = peers_[peer.roster_entry.id];
    if (dialed.peer.needs_exact_counts != peer.needs_exact_counts)
      dialed.sent_loads.clear();
    dialed.peer = peer;
    if (dialed.connector) continue;
    const uint64_t seed =
        NameHash(self_.id.name + ">" + peer.roster_entry.id.name);
    dialed.connector = std::make_unique<peer_connector>(
        io_, peer.roster_entry.control, DialHandlers(peer.roster_entry.id),
        counters_, seed);
    dialed.connector->Start();
  }
}

void peer_hub::DialSeeds(const std::vector<endpoint>& seeds,
                         const peer_message& first_message) {
  for (const endpoint& seed : seeds) {
    if (seed == self_.control) continue;
    link_handlers handlers;
    handlers.on_open = [this, first_message](peer_link& link) {
      link.Send(hello{self_});
      link.Send(first_message);
    };
    handlers.on_message = [this](peer_link& link, const peer_message& message) {
      Dispatch(link, message);
    };
    handlers.on_close = [](peer_link&, const failure&) {};
    const uint64_t jitter = NameHash(self_.id.name + ">" + ToString(seed));
    seeds_.push_back(std::make_unique<peer_connector>(io_, seed, handlers,
                                                      counters_, jitter));
    seeds_.back()->Start();
  }
}

void peer_hub::Tick(time_point now) {
  const duration interval = HeartbeatInterval(base_interval_, peers_.size());
  for (auto& [id, peer] : peers_) {
    if (!peer.is_open || now < peer.next_heartbeat_at) continue;
    peer.next_heartbeat_at =
        now + (peer.peer.needs_exact_counts ? base_interval_ : interval);
    SendHeartbeat(peer, now);
  }
}

void peer_hub::SendHeartbeat(dialed_peer& peer, time_point now) {
  heartbeat beat = handlers_.make_heartbeat();
  beat.sender = self_.id;
  beat.sequence = ++peer.sequence;
  beat.sent_ms = ToWireMs(now);
  beat.loads = LoadDeltas(peer);
  peer.connector->Send(beat);
}

std::vector<pool_delta> peer_hub::LoadDeltas(dialed_peer& peer) {
  std::vector<pool_delta> deltas;
  for (auto& [name, counts] : handlers_.make_load_report(
           peer.peer.roster_entry, peer.peer.needs_exact_counts)) {
    const auto before = peer.sent_loads.find(name);
    const pool_usage* const known =
        before == peer.sent_loads.end() ? nullptr : &before->second;
    if (known != nullptr && *known == counts) continue;
    deltas.push_back(
        ComputePoolDelta(name.service, name.domain, known, counts));
    peer.sent_loads[name] = counts;
  }
  return deltas;
}

bool peer_hub::Send(const member_id& to, const peer_message& message) {
  const auto peer = peers_.find(to);
  return peer != peers_.end() && peer->second.is_open &&
         peer->second.connector->Send(message);
}

void peer_hub::SendAll(const peer_message& message) {
  for (auto& [id, peer] : peers_) {
    if (peer.is_open) peer.connector->Send(message);
  }
}

std::optional<time_point> peer_hub::LastMessageAt(const member_id& id) const {
  const auto found = last_message_at_.find(id);
  if (found == last_message_at_.end()) return std::nullopt;
  return found->second;
}

void peer_hub::Dispatch(peer_link& link, const peer_message& message) {
  const time_point now = std::chrono::steady_clock::now();
  std::visit(overloaded{[&](const hello& m) {
                          last_message_at_[m.self.id] = now;
                          handlers_.on_hello(link, m.self);
                        },
                        [&](const heartbeat& m) {
                          last_message_at_[m.sender] = now;
                          ReplyToHeartbeat(link, m);
                        },
                        [&](const heartbeat_ack& m) {
                          last_message_at_[m.sender] = now;
                          handlers_.on_ack(m);
                        },
                        [&](const auto&) {
                          if (link.peer())
                            handlers_.on_message(link, *link.peer(), message);
                        }},
             message);
}

void peer_hub::ReplyToHeartbeat(peer_link& link, const heartbeat& beat) {
  for (const pool_delta& delta : beat.loads)
    ApplyPoolDelta(reported_usage_[{delta.service, delta.domain}], delta);
  heartbeat_ack ack;
  ack.sender = self_.id;
  ack.sequence = beat.sequence;
  ack.sent_ms = beat.sent_ms;
  handlers_.exchange_epochs(beat, ack);
  link.Send(ack);
  handlers_.on_heartbeat(beat);
}

}  // namespace radishyard
