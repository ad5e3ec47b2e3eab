// Stand-in for the callers: opens the flows of a run towards a service's
// address and checks that each receives the complete response to its own
// request.
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "support/load_run.h"
#include "support/stand_in.h"
#include "support/tcp_stream.h"
#include "support/test_protocol.h"

namespace radishyard {
namespace {

using nlohmann::json;

// An ended connection still acknowledges segments of its peer for this time.
constexpr auto kEndedFlowLifetime = 2s;
constexpr auto kOpenInterval = 2ms;
// Limits a burst to the flows that a run's rate allows in this time.
constexpr double kMaxBurstSeconds = 0.02;
constexpr uint32_t kCallerNetwork = 0x0a010000;  // 10.1.0.0/16
constexpr uint32_t kFirstCallerPort = 1024;
constexpr uint32_t kPortsPerCaller = 64'000;
constexpr auto kWaitPollInterval = 50ms;  // Of a pending "wait" command.

class caller_stand_in {
 public:
  caller_stand_in(stand_in& process, const stand_in_options& options)
      : process_(process), fabric_(options.fabric), seq_(options.seed) {
    send_ = [this](const packet_fields& fields) {
      process_.data().SendEncapsulated(BuildPacket(fields), fabric_);
    };
  }

  void AddCommands() {
    process_.AddCommand("run", [this](const json& c) { return StartRun(c); });
    process_.AddAsyncCommand("wait", [this](const json& c, const auto& reply) {
      ReplyWhen([this] { return AreRunsSettled(); },
                [reply](bool is_met) {
                  reply({{"settled", is_met}});
                },
                Now() + milliseconds(c.value("timeout_ms", 60'000)));
    });
    process_.AddAsyncCommand(
        "stop_feeds", [this](const json& c, const auto& reply) {
          StopFeeds();
          ReplyWhen([this] { return HasNoFeeds(); },
                    [this, reply](bool) { reply(Report()); },
                    Now() + milliseconds(c.value("timeout_ms", 30'000)));
        });
    process_.AddCommand("report", [this](const json&) { return Report(); });
    process_.AddCommand("refused",
                        [this](const json&) { return ListRefused(); });
  }

  void Receive(byte_span datagram) {
    failure why;
    const auto decoded = DecodeGeneve(datagram, why);
    if (!decoded) return;
    const time_point now = Now();
    if (const auto refused_flow = ParsePortUnreachable(decoded->inner)) {
      const auto found = flows_.find(*refused_flow);
      if (found != flows_.end())
        EndFlow(found->second, flow_outcome::kRefused, "port unreachable", now);
      return;
    }
    const auto packet = ParsePacket(decoded->inner, why);
    if (!packet) return;
    const auto found =
        flows_.find({packet->destination, packet->source, packet->proto});
    if (found == flows_.end()) {
      OnUnknownFlow(*packet);
    } else if (const flow_ptr f = found->second; f->stream) {
      f->stream->OnSegment(*packet, now);
      HandleStreamState(f, now);
    } else {
      OnDatagram(f, *packet, now);
    }
  }

 private:
  static time_point Now() { return std::chrono::steady_clock::now(); }

  json StartRun(const json& c) {
    load_run& run = runs_.emplace_back();
    run.spec = ParseRunSpec(c);
    run.id = static_cast<uint32_t>(runs_.size());
    run.random.seed(run.spec.seed);
    run.started_at = run.last_refill = Now();
    OpenDueFlows(run, Now());
    return {{"run", run.id}};
  }

  void OpenDueFlows(load_run& run, time_point now) {
    const double elapsed_seconds =
        std::chrono::duration<double>(now - run.last_refill).count();
    run.last_refill = now;
    run.credit = std::min(run.credit + elapsed_seconds * run.spec.rate,
                          1 + kMaxBurstSeconds * run.spec.rate);
    while (run.credit >= 1 && run.open < run.spec.concurrency &&
           run.started < run.spec.flows) {
      run.credit -= 1;
      OpenFlow(run, now);
    }
    if (run.started == run.spec.flows) return;
    process_.timers().Schedule(
        now + kOpenInterval,
        [this, &run](time_point then) { OpenDueFlows(run, then); });
  }

  // Returns an endpoint that no other flow of this process uses.
  endpoint NextCallerEndpoint(const load_run& run) {
    const uint32_t index = next_flow_[run.spec.callers]++;
    const uint32_t host = index % run.spec.callers;
    const uint32_t port = index / run.spec.callers % kPortsPerCaller;
    // Runs with different numbers of callers use different networks.
    const uint32_t network_offset = run.spec.callers << 8;
    return {kCallerNetwork + network_offset + host,
            static_cast<uint16_t>(kFirstCallerPort + port)};
  }

  void OpenFlow(load_run& run, time_point now) {
    const flow_key key{NextCallerEndpoint(run), run.spec.at, run.spec.proto};
    const auto f = std::make_shared<caller_flow>(run, run.NextRequest(), key);
    f->started_at = f->last_push = now;
    ++run.open;
    flows_[key] = f;
    process_.timers().Schedule(
        now + run.spec.timeout,
        [this, weak = std::weak_ptr(f)](time_point then) {
          if (const flow_ptr live = weak.lock()) OnTimeout(live, then);
        });
    if (key.proto == protocol::kTcp) {
      seq_ = seq_ * 1664525 + 1013904223;
      f->stream.emplace(key.caller, key.service, seq_, send_);
      f->stream->Connect(now);
      HandleStreamState(f, now);
    } else {
      SendRequest(f, now);
    }
  }

  void SendRequest(const flow_ptr& f, time_point now) {
    if (f->is_done) return;
    const std::string line = ToRequestLine(f->sent_request);
    send_({.source = f->key.caller,
           .destination = f->key.service,
           .payload = {reinterpret_cast<const uint8_t*>(line.data()),
                       line.size()}});
    if (!f->sent_request.idempotent) return;
    process_.timers().Schedule(now + f->run.spec.retry_interval,
                               [this, f](time_point then) {
                                 f->run.retried += f->is_done ? 0 : 1;
                                 SendRequest(f, then);
                               });
  }

  void OnDatagram(const flow_ptr& f, const packet_view& packet,
                  time_point now) {
    if (f->is_done) return;
    const std::string text(packet.payload.begin(), packet.payload.end());
    const size_t header_bytes = text.find('\n') + 1;
    const std::string line = text.substr(0, header_bytes);
    if (header_bytes == 0 || GetField(line, "id") != f->sent_request.id) {
      EndFlow(f, flow_outcome::kWrong, "response to another request: " + line,
              now);
      return;
    }
    f->parts[std::stoul(GetField(line, "part"))] = text.substr(header_bytes);
    if (f->parts.size() < std::stoul(GetField(line, "of"))) return;
    for (const auto& [index, part] : f->parts) f->received += part;
    f->run.RecordAccepted(now);
    EndWithResponse(f, now);
  }

  void OnUnknownFlow(const packet_view& packet) {
    ++strays_;
    if (packet.proto != protocol::kTcp || packet.Has(kRst)) return;
    send_({.source = packet.destination,
           .destination = packet.source,
           .proto = protocol::kTcp,
           .flags = kRst,
           .seq = packet.ack});
  }

  // Applies the state of the TCP stream to the flow; runs after each event.
  void HandleStreamState(const flow_ptr& f, time_point now) {
    if (f->stream->state() == tcp_state::kOpen && !f->is_accepted)
      OnAccepted(f, now);
    f->received += f->stream->TakeReceived();
    if (f->run.spec.is_feed) ReadFeedLines(f, now);
    const tcp_state state = f->stream->state();
    if (state == tcp_state::kReset) {
      EndAndRemove(
          f, "reset",
          f->is_accepted ? flow_outcome::kBroken : flow_outcome::kRefused, now);
    } else if (state == tcp_state::kFailed) {
      EndAndRemove(
          f, "no acknowledgement",
          f->is_accepted ? flow_outcome::kBroken : flow_outcome::kTimedOut,
          now);
    } else if (f->stream->peer_closed()) {
      OnPeerClosed(f, now);
    }
    ScheduleStreamTimer(f);
  }

  void ScheduleStreamTimer(const flow_ptr& f) {
    if (f->is_armed || !f->stream->next_timeout()) return;
    f->is_armed = true;
    process_.timers().Schedule(*f->stream->next_timeout(),
                               [this, f](time_point then) {
                                 f->is_armed = false;
                                 f->stream->OnTimer(then);
                                 HandleStreamState(f, then);
                               });
  }

  void OnAccepted(const flow_ptr& f, time_point now) {
    f->is_accepted = true;
    f->run.RecordAccepted(now);
    f->last_push = now;
    f->stream->Write(ToRequestLine(f->sent_request), now);
    if (!f->run.spec.is_feed) return;
    ++f->run.alive;
    SendFeedLine(f, now);
    const seconds feed_duration = f->run.spec.feed_duration;
    if (feed_duration == seconds(0)) return;
    process_.timers().Schedule(now + feed_duration, [this, f](time_point then) {
      CloseFeed(f, then);
    });
  }

  void SendFeedLine(const flow_ptr& f, time_point now) {
    if (f->is_closing || f->is_done || f->lines_sent == f->run.spec.lines)
      return;
    ++f->run.lines_sent;
    f->stream->Write("line=" + std::to_string(f->lines_sent++) + "\n", now);
    ScheduleStreamTimer(f);
    process_.timers().Schedule(
        now + f->run.spec.line_interval,
        [this, f](time_point then) { SendFeedLine(f, then); });
  }

  void ReadFeedLines(const flow_ptr& f, time_point now) {
    for (size_t end = f->received.find('\n');
         end != std::string::npos && !f->is_done;
         end = f->received.find('\n')) {
      const std::string line = f->received.substr(0, end + 1);
      f->received.erase(0, end + 1);
      const std::string echo = GetField(line, "echo");
      if (f->upstream.empty()) f->upstream = GetField(line, "upstream");
      if (line !=
          MakeFeedLine(f->sent_request, f->upstream, f->next_seq++, echo)) {
        f->stream->Abort();
        EndFlow(f, flow_outcome::kWrong, "unexpected feed line: " + line, now);
      }
      f->run.echoes += echo.empty() ? 0 : 1;
      f->last_push = now;
    }
  }

  void OnPeerClosed(const flow_ptr& f, time_point now) {
    if (!f->run.spec.is_feed) {
      EndWithResponse(f, now);
    } else if (f->is_closing) {
      EndFlow(f, flow_outcome::kCompleted, "", now);
    } else {
      EndFlow(f, flow_outcome::kBroken, "feed closed by its upstream", now);
    }
    f->stream->Close(now);
  }

  void CloseFeed(const flow_ptr& f, time_point now) {
    if (f->is_done || f->is_closing) return;
    f->is_closing = true;
    f->stream->Close(now);
    ScheduleStreamTimer(f);
  }

  void EndWithResponse(const flow_ptr& f, time_point now) {
    if (IsCompleteResponse(f->sent_request, f->received)) {
      EndFlow(f, flow_outcome::kCompleted, "", now);
      return;
    }
    const bool is_partial = f->received.size() < f->sent_request.bytes;
    EndFlow(f, flow_outcome::kWrong,
            (is_partial ? "partial response: " : "wrong response: ") +
                f->received.substr(0, 80),
            now);
  }

  // An accepted flow that receives nothing for the timeout is broken; a flow
  // that was never accepted has timed out. An accepted feed that received a
  // line within the timeout is checked again later.
  void OnTimeout(const flow_ptr& f, time_point now) {
    if (f->is_done) return;
    if (f->run.spec.is_feed && f->is_accepted &&
        now - f->last_push < f->run.spec.timeout) {
      process_.timers().Schedule(
          f->last_push + f->run.spec.timeout,
          [this, f](time_point then) { OnTimeout(f, then); });
      return;
    }
    if (f->stream) f->stream->Abort();
    EndAndRemove(
        f, f->is_accepted ? "silence" : "never accepted",
        f->is_accepted ? flow_outcome::kBroken : flow_outcome::kTimedOut, now);
  }

  void EndAndRemove(const flow_ptr& f, const std::string& reason,
                    flow_outcome outcome, time_point now) {
    EndFlow(f, outcome, reason, now);
    flows_.erase(f->key);
  }

  void EndFlow(const flow_ptr& f, flow_outcome outcome,
               const std::string& reason, time_point now) {
    if (f->is_done) return;
    f->is_done = true;
    if (f->run.spec.is_feed && f->is_accepted) --f->run.alive;
    f->run.RecordEnd(outcome, f->sent_request.id, reason, now - f->started_at);
    f->received = {};
    process_.timers().Schedule(now + kEndedFlowLifetime,
                               [this, f](time_point) { flows_.erase(f->key); });
  }

  // Replies once `condition` is met, at the latest at `deadline`.
  void ReplyWhen(const std::function<bool()>& condition,
                 const std::function<void(bool is_met)>& reply,
                 time_point deadline) {
    const bool is_met = condition();
    if (is_met || Now() >= deadline) return reply(is_met);
    process_.timers().Schedule(
        Now() + kWaitPollInterval,
        [=, this](time_point) { ReplyWhen(condition, reply, deadline); });
  }

  bool AreRunsSettled() const {
    return std::ranges::all_of(runs_,
                               [](const load_run& r) { return r.IsSettled(); });
  }

  bool HasNoFeeds() const {
    return std::ranges::all_of(runs_,
                               [](const load_run& r) { return r.alive == 0; });
  }

  void StopFeeds() {
    std::vector<flow_ptr> feeds;
    for (const auto& [key, f] : flows_)
      if (f->run.spec.is_feed && f->is_accepted) feeds.push_back(f);
    for (const flow_ptr& f : feeds) CloseFeed(f, Now());
  }

  json Report() const {
    json runs = json::array();
    for (const load_run& run : runs_) runs.push_back(run.Report());
    duration oldest{0};
    for (const auto& [key, f] : flows_)
      if (f->run.spec.is_feed && f->is_accepted && !f->is_done)
        oldest = std::max(oldest, Now() - f->last_push);
    return {{"runs", runs},
            {"oldest_push_ms", ToMs(oldest)},
            {"strays", strays_},
            {"unsent", process_.data().unsent()}};
  }

  json ListRefused() const {
    json ids = json::array();
    for (const load_run& run : runs_)
      for (const std::string& id : run.refused_ids) ids.push_back(id);
    return {{"ids", ids}};
  }

  stand_in& process_;
  endpoint fabric_;
  uint32_t seq_;
  tcp_stream::sender send_;
  std::list<load_run> runs_;  ///< A list, because flows keep references.
  absl::flat_hash_map<flow_key, flow_ptr> flows_;
  std::map<uint32_t, uint32_t> next_flow_;  ///< By `callers` of the run.
  int64_t strays_ = 0;  ///< Packets that belong to no open flow.
};

}  // namespace
}  // namespace radishyard

int main(int argc, const char** argv) {
  using namespace radishyard;  // NOLINT(google-build-using-namespace)
  const stand_in_options options = ParseStandInOptions(argc, argv);
  stand_in process("callers", options);
  caller_stand_in callers(process, options);
  callers.AddCommands();
  process.Run(
      [&](byte_span datagram, const endpoint&) { callers.Receive(datagram); });
}
