// The upstreams: one process plays every address it is sent to, runs requests,
// serves feeds, and counts whatever a load balancer must not let happen.
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

constexpr auto kLinger = 2s;        // Time that an ended connection answers.
constexpr double kColdFactor = 10;  // Slow-down during a cold start.
constexpr int kColdMs = 5000;
constexpr size_t kMaxDatagram = 1200;
constexpr size_t kSegments = 4;  // A small answer is cut into so many.

const std::map<std::string, upstream_mode> kModes = {
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
  std::string input;  ///< Received, without a line's end yet.
  std::optional<request> asked;
  uint64_t pushed = 0;    ///< Lines of a feed so far.
  bool is_armed = false;  ///< A retransmission timer is queued.
  bool is_running = false;
  bool is_counted = true;  ///< Among the open ones of its host.
};
using connection_ptr = std::shared_ptr<connection>;

class upstreams {
 public:
  upstreams(stand_in& frame, const stand_in_options& options)
      : frame_(frame), fabric_(options.fabric), seq_(options.seed) {
    send_ = [this](const packet_fields& fields) {
      if (Host(fields.source.address).mode == upstream_mode::kFrozen) return;
      frame_.data().SendEncapsulated(BuildPacket(fields), fabric_);
    };
  }

  void AddCommands() {
    frame_.AddCommand("upstream", [this](const json& c) { return SetHost(c); });
    frame_.AddCommand("limits", [this](const json& c) {
      record_.SetLimits(c.at("rows"));
      return json{{"ok", true}};
    });
    frame_.AddCommand("report", [this](const json&) { return Report(); });
    frame_.AddCommand("ran", [this](const json& c) {
      return json{{"ran", record_.FindExecuted(c.at("ids"))}};
    });
    frame_.AddCommand("reset", [this](const json&) {
      record_.Reset();
      return json{{"ok", true}};
    });
  }

  void Receive(byte_span datagram) {
    failure why;
    const auto frame = DecodeGeneve(datagram, why);
    const auto packet = frame ? ParsePacket(frame->inner, why) : std::nullopt;
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
      OnDatagram(*packet, frame->inner, host, now);
    }
  }

 private:
  upstream_host& Host(uint32_t address) { return record_.Host(address); }

  void OnSegment(const packet_view& segment, upstream_host& host,
                 time_point now) {
    const flow_key key{segment.source, segment.destination, protocol::kTcp};
    if (!segment.payload.empty()) record_.RecordPayload(key);
    const auto known = connections_.find(key);
    if (known == connections_.end()) {
      OnUnknown(segment, key, host, now);
      return;
    }
    const connection_ptr c = known->second;
    c->stream.OnSegment(segment, now);
    ReadLines(c, now);
    Settle(c, now);
  }

  void OnUnknown(const packet_view& segment, const flow_key& key,
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
    Settle(c, now);
  }

  void SendReset(const packet_view& segment) {
    if (!segment.Has(kAck)) {
      frame_.data().SendEncapsulated(BuildReset(segment), fabric_);
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
      if (c->asked) {
        EchoLine(c, line, now);
      } else if (c->asked = ParseRequest(line); c->asked) {
        Begin(c, now);
      }
    }
  }

  void EchoLine(const connection_ptr& c, const std::string& line,
                time_point now) {
    if (c->asked->push_ms == 0) return;
    const std::string name = ToDottedAddress(c->key.service.address);
    const std::string echo = GetField(line, "line");
    c->stream.Write(MakeFeedLine(*c->asked, name, c->pushed++, echo), now);
  }

  void Begin(const connection_ptr& c, time_point now) {
    upstream_host& host = Host(c->key.service.address);
    record_.RecordExecution(*c->asked, c->key);
    if (c->asked->push_ms > 0) {
      Push(c, now);
      return;
    }
    c->is_running = true;
    record_.RecordRequestInProgress(c->key.service.address);
    frame_.timers().Schedule(now + ServiceTime(*c->asked, host, now),
                             [this, c](time_point then) { Answer(c, then); });
  }

  void Push(const connection_ptr& c, time_point now) {
    const tcp_state state = c->stream.state();
    if (state != tcp_state::kOpen || c->stream.peer_closed()) return;
    const std::string name = ToDottedAddress(c->key.service.address);
    c->stream.Write(MakeFeedLine(*c->asked, name, c->pushed++, ""), now);
    Settle(c, now);
    frame_.timers().Schedule(now + milliseconds(c->asked->push_ms),
                             [this, c](time_point then) { Push(c, then); });
  }

  void Answer(const connection_ptr& c, time_point now) {
    if (!c->is_running) return;
    StopRunning(c);
    const std::string answer =
        MakeResponse(*c->asked, ToDottedAddress(c->key.service.address));
    c->stream.set_segment_bytes(
        std::clamp<size_t>(answer.size() / kSegments, 1, kMaxDatagram));
    c->stream.Write(answer, now);
    c->stream.Close(now);
    Settle(c, now);
  }

  void StopRunning(const connection_ptr& c) {
    if (!c->is_running) return;
    c->is_running = false;
    --Host(c->key.service.address).running;
  }

  // Follows the stream's state: timers, the end, and the counts.
  void Settle(const connection_ptr& c, time_point now) {
    const tcp_state state = c->stream.state();
    if (state == tcp_state::kOpen && c->stream.peer_closed() && !c->is_running)
      c->stream.Close(now);
    const bool is_dead =
        state == tcp_state::kReset || state == tcp_state::kFailed;
    if (is_dead) StopRunning(c);
    if (c->is_counted && (is_dead || c->stream.state() == tcp_state::kClosed))
      Forget(c, now, is_dead);
    if (c->is_armed || !c->stream.due()) return;
    c->is_armed = true;
    frame_.timers().Schedule(*c->stream.due(), [this, c](time_point then) {
      c->is_armed = false;
      c->stream.OnTimer(then);
      Settle(c, then);
    });
  }

  void Forget(const connection_ptr& c, time_point now, bool is_dead) {
    c->is_counted = false;
    --Host(c->key.service.address).open;
    if (is_dead) {
      connections_.erase(c->key);
      return;
    }
    frame_.timers().Schedule(
        now + kLinger, [this, c](time_point) { connections_.erase(c->key); });
  }

  void OnDatagram(const packet_view& packet, byte_span ip, upstream_host& host,
                  time_point now) {
    if (host.mode == upstream_mode::kBlackhole) return;
    if (host.mode == upstream_mode::kShed) {
      frame_.data().SendEncapsulated(BuildPortUnreachable(ip), fabric_);
      return;
    }
    const auto asked =
        ParseRequest({packet.payload.begin(), packet.payload.end()});
    if (!asked) {
      record_.RecordMalformed();
      return;
    }
    const flow_key key{packet.source, packet.destination, protocol::kUdp};
    if (!asked->idempotent) record_.RecordPayload(key);
    record_.RecordExecution(*asked, key);
    record_.RecordRequestInProgress(key.service.address);
    frame_.timers().Schedule(now + ServiceTime(*asked, host, now),
                             [this, key, r = *asked](time_point) {
                               --Host(key.service.address).running;
                               AnswerDatagrams(key, r);
                             });
  }

  void AnswerDatagrams(const flow_key& key, const request& r) {
    const std::string answer =
        MakeResponse(r, ToDottedAddress(key.service.address));
    const size_t parts =
        std::max<size_t>(r.parts, (answer.size() - 1) / kMaxDatagram + 1);
    const size_t bytes = (answer.size() - 1) / parts + 1;
    for (size_t part = 0; part < parts; ++part) {
      const size_t at = std::min(part * bytes, answer.size());
      const std::string text = "id=" + r.id + " part=" + std::to_string(part) +
                               " of=" + std::to_string(parts) + "\n" +
                               answer.substr(at, bytes);
      send_({.source = key.service,
             .destination = key.caller,
             .proto = protocol::kUdp,
             .payload = {reinterpret_cast<const uint8_t*>(text.data()),
                         text.size()}});
    }
  }

  duration ServiceTime(const request& r, const upstream_host& host,
                       time_point now) const {
    const bool is_cold =
        host.mode == upstream_mode::kCold && now < host.cold_until;
    const double ms = r.service_ms / host.speed * (is_cold ? kColdFactor : 1);
    return microseconds(static_cast<int64_t>(ms * 1000));
  }

  json SetHost(const json& c) {
    upstream_host& host = record_.Host(c.at("address").get<std::string>());
    host.speed = c.value("speed", host.speed);
    if (c.contains("mode")) host.mode = kModes.at(c["mode"]);
    host.cold_until = std::chrono::steady_clock::now() +
                      milliseconds(c.value("cold_ms", kColdMs));
    return {{"ok", true}};
  }

  json Report() const {
    json report = record_.Report();
    report["unsent"] = frame_.data().unsent();
    return report;
  }

  stand_in& frame_;
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
  stand_in frame("upstreams", options);
  upstreams all(frame, options);
  all.AddCommands();
  frame.Run(
      [&](byte_span datagram, const endpoint&) { all.Receive(datagram); });
}
