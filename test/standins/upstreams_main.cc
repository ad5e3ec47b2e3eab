// Stand-in for the upstreams: one process acts as the upstream at every address
// that it receives packets for. It executes requests, serves feeds, and counts
// violations of what a load balancer guarantees.
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <memory>
#include <string>

#include "support/stand_in.h"
#include "support/tcp_stream.h"
#include "support/test_protocol.h"
#include "support/upstream_record.h"

namespace radishyard {
namespace {

using nlohmann::json;

// An ended connection still acknowledges segments of its peer for this time.
constexpr auto kEndedConnectionLifetime = 2s;
constexpr double kColdSlowdown = 10;
constexpr int kDefaultColdMs = 5000;
constexpr size_t kMaxPayloadBytes = 1200;
constexpr size_t kSegmentsPerSmallResponse = 4;

const std::map<std::string, upstream_mode> kModesByName = {
    {"ok", upstream_mode::kOk},
    {"blackhole", upstream_mode::kBlackhole},
    {"shed", upstream_mode::kShed},
    {"cold", upstream_mode::kCold},
    {"frozen", upstream_mode::kFrozen}};

struct connection {
  connection(const flow_key& k, uint32_t seq, const tcp_stream::sender& send)
      : key(k), stream(k.service, k.caller, seq, send) {}
  flow_key key;  ///< `service` is the upstream's endpoint.
  tcp_stream stream;
  std::string input;  ///< Received bytes of an incomplete line.
  std::optional<request> received_request;
  uint64_t pushed_lines = 0;  ///< Lines of a feed sent so far.
  bool is_armed = false;      ///< A retransmission timer is queued.
  bool is_running = false;
  bool counts_as_open = true;  ///< Included in the upstream's open count.
};
using connection_ptr = std::shared_ptr<connection>;

class upstream_stand_in {
 public:
  upstream_stand_in(stand_in& process, const stand_in_options& options)
      : process_(process), fabric_(options.fabric), seq_(options.seed) {
    send_ = [this](const packet_fields& fields) {
      if (Host(fields.source.address).mode == upstream_mode::kFrozen) return;
      process_.data().SendEncapsulated(BuildPacket(fields), fabric_);
    };
  }

  void AddCommands() {
    process_.AddCommand("upstream",
                        [this](const json& c) { return ConfigureUpstream(c); });
    process_.AddCommand("limits", [this](const json& c) {
      record_.SetLimits(c.at("rows"));
      return json{{"ok", true}};
    });
    process_.AddCommand("report", [this](const json&) { return Report(); });
    process_.AddCommand("ran", [this](const json& c) {
      return json{{"ran", record_.FindExecuted(c.at("ids"))}};
    });
    process_.AddCommand("reset", [this](const json&) {
      record_.Reset();
      return json{{"ok", true}};
    });
  }

  void Receive(byte_span datagram) {
    failure why;
    const auto decoded = DecodeGeneve(datagram, why);
    const auto packet =
        decoded ? ParsePacket(decoded->inner, why) : std::nullopt;
    if (!packet) {
      record_.RecordMalformed();
      return;
    }
    const time_point now = std::chrono::steady_clock::now();
    upstream_host& host = Host(packet->destination.address);
    if (host.mode == upstream_mode::kFrozen) return;
    if (packet->proto == protocol::kTcp) {
      OnSegment(*packet, host, now);
    } else {
      OnDatagram(*packet, decoded->inner, host, now);
    }
  }

 private:
  upstream_host& Host(uint32_t address) { return record_.Host(address); }

  void OnSegment(const packet_view& segment, upstream_host& host,
                 time_point now) {
    const flow_key key{segment.source, segment.destination, protocol::kTcp};
    if (!segment.payload.empty()) record_.RecordPayload(key);
    const auto found = connections_.find(key);
    if (found == connections_.end()) {
      OnUnknownSegment(segment, key, host, now);
      return;
    }
    const connection_ptr c = found->second;
    c->stream.OnSegment(segment, now);
    ReadLines(c, now);
    HandleStreamState(c, now);
  }

  void OnUnknownSegment(const packet_view& segment, const flow_key& key,
                        upstream_host& host, time_point now) {
    if (segment.Has(kRst)) return;
    if (!segment.IsSyn() || host.mode == upstream_mode::kShed) {
      if (!segment.IsSyn()) record_.RecordStraySegment(key);
      SendReset(segment);
      return;
    }
    if (host.mode == upstream_mode::kBlackhole) return;
    seq_ = seq_ * 1664525 + 1013904223;
    const auto c = std::make_shared<connection>(key, seq_, send_);
    connections_[key] = c;
    record_.RecordConnection(key.service.address);
    c->stream.Accept(segment, now);
    HandleStreamState(c, now);
  }

  void SendReset(const packet_view& segment) {
    if (!segment.Has(kAck)) {
      process_.data().SendEncapsulated(BuildReset(segment), fabric_);
      return;
    }
    send_({.source = segment.destination,
           .destination = segment.source,
           .proto = protocol::kTcp,
           .flags = kRst,
           .seq = segment.ack});
  }

  void ReadLines(const connection_ptr& c, time_point now) {
    c->input += c->stream.TakeReceived();
    for (size_t end = c->input.find('\n'); end != std::string::npos;
         end = c->input.find('\n')) {
      const std::string line = c->input.substr(0, end);
      c->input.erase(0, end + 1);
      if (c->received_request) {
        EchoLine(c, line, now);
      } else if (c->received_request = ParseRequest(line);
                 c->received_request) {
        StartRequest(c, now);
      }
    }
  }

  void EchoLine(const connection_ptr& c, const std::string& line,
                time_point now) {
    if (c->received_request->push_ms == 0) return;
    const std::string name = ToDottedAddress(c->key.service.address);
    const std::string echo = GetField(line, "line");
    c->stream.Write(
        MakeFeedLine(*c->received_request, name, c->pushed_lines++, echo), now);
  }

  void StartRequest(const connection_ptr& c, time_point now) {
    upstream_host& host = Host(c->key.service.address);
    record_.RecordExecution(*c->received_request, c->key);
    if (c->received_request->push_ms > 0) {
      PushFeedLine(c, now);
      return;
    }
    c->is_running = true;
    record_.RecordRequestInProgress(c->key.service.address);
    process_.timers().Schedule(
        now + ComputeServiceTime(*c->received_request, host, now),
        [this, c](time_point then) { SendResponse(c, then); });
  }

  void PushFeedLine(const connection_ptr& c, time_point now) {
    const tcp_state state = c->stream.state();
    if (state != tcp_state::kOpen || c->stream.peer_closed()) return;
    const std::string name = ToDottedAddress(c->key.service.address);
    c->stream.Write(
        MakeFeedLine(*c->received_request, name, c->pushed_lines++, ""), now);
    HandleStreamState(c, now);
    process_.timers().Schedule(
        now + milliseconds(c->received_request->push_ms),
        [this, c](time_point then) { PushFeedLine(c, then); });
  }

  void SendResponse(const connection_ptr& c, time_point now) {
    if (!c->is_running) return;
    EndExecution(c);
    const std::string response = MakeResponse(
        *c->received_request, ToDottedAddress(c->key.service.address));
    c->stream.set_segment_bytes(std::clamp<size_t>(
        response.size() / kSegmentsPerSmallResponse, 1, kMaxPayloadBytes));
    c->stream.Write(response, now);
    c->stream.Close(now);
    HandleStreamState(c, now);
  }

  void EndExecution(const connection_ptr& c) {
    if (!c->is_running) return;
    c->is_running = false;
    --Host(c->key.service.address).running;
  }

  // Applies the state of the TCP stream to the connection: its end, the counts
  // and the retransmission timer.
  void HandleStreamState(const connection_ptr& c, time_point now) {
    const tcp_state state = c->stream.state();
    if (state == tcp_state::kOpen && c->stream.peer_closed() && !c->is_running)
      c->stream.Close(now);
    const bool has_failed =
        state == tcp_state::kReset || state == tcp_state::kFailed;
    if (has_failed) EndExecution(c);
    if (c->counts_as_open &&
        (has_failed || c->stream.state() == tcp_state::kClosed))
      RemoveConnection(c, now, has_failed);
    if (c->is_armed || !c->stream.next_timeout()) return;
    c->is_armed = true;
    process_.timers().Schedule(*c->stream.next_timeout(),
                               [this, c](time_point then) {
                                 c->is_armed = false;
                                 c->stream.OnTimer(then);
                                 HandleStreamState(c, then);
                               });
  }

  void RemoveConnection(const connection_ptr& c, time_point now,
                        bool has_failed) {
    c->counts_as_open = false;
    --Host(c->key.service.address).open;
    if (has_failed) {
      connections_.erase(c->key);
      return;
    }
    process_.timers().Schedule(
        now + kEndedConnectionLifetime,
        [this, c](time_point) { connections_.erase(c->key); });
  }

  void OnDatagram(const packet_view& packet, byte_span ip, upstream_host& host,
                  time_point now) {
    if (host.mode == upstream_mode::kBlackhole) return;
    if (host.mode == upstream_mode::kShed) {
      process_.data().SendEncapsulated(BuildPortUnreachable(ip), fabric_);
      return;
    }
    const auto received_request =
        ParseRequest({packet.payload.begin(), packet.payload.end()});
    if (!received_request) {
      record_.RecordMalformed();
      return;
    }
    const flow_key key{packet.source, packet.destination, protocol::kUdp};
    if (!received_request->idempotent) record_.RecordPayload(key);
    record_.RecordExecution(*received_request, key);
    record_.RecordRequestInProgress(key.service.address);
    process_.timers().Schedule(
        now + ComputeServiceTime(*received_request, host, now),
        [this, key, r = *received_request](time_point) {
          --Host(key.service.address).running;
          SendResponseDatagrams(key, r);
        });
  }

  void SendResponseDatagrams(const flow_key& key, const request& r) {
    const std::string response =
        MakeResponse(r, ToDottedAddress(key.service.address));
    const size_t parts =
        std::max<size_t>(r.parts, (response.size() - 1) / kMaxPayloadBytes + 1);
    const size_t bytes = (response.size() - 1) / parts + 1;
    for (size_t part = 0; part < parts; ++part) {
      const size_t at = std::min(part * bytes, response.size());
      const std::string text = "id=" + r.id + " part=" + std::to_string(part) +
                               " of=" + std::to_string(parts) + "\n" +
                               response.substr(at, bytes);
      send_({.source = key.service,
             .destination = key.caller,
             .proto = protocol::kUdp,
             .payload = {reinterpret_cast<const uint8_t*>(text.data()),
                         text.size()}});
    }
  }

  duration ComputeServiceTime(const request& r, const upstream_host& host,
                              time_point now) const {
    const bool is_cold =
        host.mode == upstream_mode::kCold && now < host.cold_until;
    const double ms = r.service_ms / host.speed * (is_cold ? kColdSlowdown : 1);
    return microseconds(static_cast<int64_t>(ms * 1000));
  }

  json ConfigureUpstream(const json& c) {
    upstream_host& host = record_.Host(c.at("address").get<std::string>());
    host.speed = c.value("speed", host.speed);
    if (c.contains("mode")) host.mode = kModesByName.at(c["mode"]);
    host.cold_until = std::chrono::steady_clock::now() +
                      milliseconds(c.value("cold_ms", kDefaultColdMs));
    return {{"ok", true}};
  }

  json Report() const {
    json report = record_.Report();
    report["unsent"] = process_.data().unsent();
    return report;
  }

  stand_in& process_;
  endpoint fabric_;
  uint32_t seq_;
  tcp_stream::sender send_;
  upstream_record record_;
  absl::flat_hash_map<flow_key, connection_ptr> connections_;
};

}  // namespace
}  // namespace radishyard

int main(int argc, const char** argv) {
  using namespace radishyard;  // NOLINT(google-build-using-namespace)
  const stand_in_options options = ParseStandInOptions(argc, argv);
  stand_in process("upstreams", options);
  upstream_stand_in upstreams(process, options);
  upstreams.AddCommands();
  process.Run([&](byte_span datagram, const endpoint&) {
    upstreams.Receive(datagram);
  });
}
