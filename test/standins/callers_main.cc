// The callers: open flows of scripted runs towards the services' addresses, and
// check that each gets the whole answer to its own request.
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

constexpr auto kLinger = 2s;        // Time that an ended connection answers.
constexpr auto kPace = 2ms;         // Between two looks at what a run may open.
constexpr double kMaxBurst = 0.02;  // In seconds of a run's rate.
constexpr uint32_t kCallers = 0x0a010000;  // 10.1.0.0/16
constexpr uint32_t kFirstPort = 1024;
constexpr uint32_t kPorts = 64'000;  // Of one caller address.
constexpr auto kPoll = 50ms;         // Of an unanswered "wait".

class callers {
 public:
  callers(stand_in& frame, const stand_in_options& options)
      : frame_(frame), fabric_(options.fabric), seq_(options.seed) {
    send_ = [this](const packet_fields& fields) {
      frame_.data().SendEncapsulated(BuildPacket(fields), fabric_);
    };
  }

  void AddCommands() {
    frame_.AddCommand("run", [this](const json& c) { return StartRun(c); });
    frame_.AddAsyncCommand("wait", [this](const json& c, const auto& answer) {
      AnswerWhen([this] { return IsSettled(); },
                 [answer](bool held) {
                   answer({{"settled", held}});
                 },
                 Now() + milliseconds(c.value("timeout_ms", 60'000)));
    });
    frame_.AddAsyncCommand(
        "stop_feeds", [this](const json& c, const auto& answer) {
          StopFeeds();
          AnswerWhen([this] { return HasNoFeeds(); },
                     [this, answer](bool) { answer(Report()); },
                     Now() + milliseconds(c.value("timeout_ms", 30'000)));
        });
    frame_.AddCommand("report", [this](const json&) { return Report(); });
    frame_.AddCommand("refused", [this](const json&) { return Refused(); });
  }

  void Receive(byte_span datagram) {
    failure why;
    const auto frame = DecodeGeneve(datagram, why);
    if (!frame) return;
    const time_point now = Now();
    if (const auto refused = ParsePortUnreachable(frame->inner)) {
      const auto found = flows_.find(*refused);
      if (found != flows_.end())
        End(found->second, flow_outcome::kRefused, "port unreachable", now);
      return;
    }
    const auto packet = ParsePacket(frame->inner, why);
    if (!packet) return;
    const auto found =
        flows_.find({packet->destination, packet->source, packet->proto});
    if (found == flows_.end()) {
      OnUnknown(*packet);
    } else if (const flow_ptr f = found->second; f->stream) {
      f->stream->OnSegment(*packet, now);
      Settle(f, now);
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
    Pace(run, Now());
    return {{"run", run.id}};
  }

  void Pace(load_run& run, time_point now) {
    const double passed =
        std::chrono::duration<double>(now - run.last_refill).count();
    run.last_refill = now;
    run.credit = std::min(run.credit + passed * run.spec.rate,
                          1 + kMaxBurst * run.spec.rate);
    while (run.credit >= 1 && run.open < run.spec.concurrency &&
           run.started < run.spec.flows) {
      run.credit -= 1;
      Open(run, now);
    }
    if (run.started == run.spec.flows) return;
    frame_.timers().Schedule(
        now + kPace, [this, &run](time_point then) { Pace(run, then); });
  }

  // Every flow has an endpoint of its own, never used again by this process.
  endpoint NextCaller(const load_run& run) {
    const uint32_t index = next_flow_[run.spec.callers]++;
    const uint32_t host = index % run.spec.callers;
    const uint32_t port = index / run.spec.callers % kPorts;
    const uint32_t site = run.spec.callers << 8;
    return {kCallers + site + host, static_cast<uint16_t>(kFirstPort + port)};
  }

  void Open(load_run& run, time_point now) {
    const flow_key key{NextCaller(run), run.spec.at, run.spec.proto};
    const auto f = std::make_shared<caller_flow>(run, run.NextRequest(), key);
    f->started_at = f->last_push = now;
    ++run.open;
    flows_[key] = f;
    frame_.timers().Schedule(now + run.spec.timeout,
                             [this, weak = std::weak_ptr(f)](time_point then) {
                               if (const flow_ptr live = weak.lock())
                                 OnDeadline(live, then);
                             });
    if (key.proto == protocol::kTcp) {
      seq_ = seq_ * 1664525 + 1013904223;
      f->stream.emplace(key.caller, key.service, seq_, send_);
      f->stream->Connect(now);
      Settle(f, now);
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
    frame_.timers().Schedule(now + f->run.spec.retry_interval,
                             [this, f](time_point then) {
                               f->run.retried += f->is_done ? 0 : 1;
                               SendRequest(f, then);
                             });
  }

  void OnDatagram(const flow_ptr& f, const packet_view& packet,
                  time_point now) {
    if (f->is_done) return;
    const std::string text(packet.payload.begin(), packet.payload.end());
    const size_t head = text.find('\n') + 1;
    const std::string line = text.substr(0, head);
    if (head == 0 || GetField(line, "id") != f->sent_request.id) {
      End(f, flow_outcome::kWrong, "answer of another request: " + line, now);
      return;
    }
    f->parts[std::stoul(GetField(line, "part"))] = text.substr(head);
    if (f->parts.size() < std::stoul(GetField(line, "of"))) return;
    for (const auto& [index, part] : f->parts) f->received += part;
    f->run.RecordAccepted(now);
    EndAnswered(f, now);
  }

  void OnUnknown(const packet_view& packet) {
    ++strays_;
    if (packet.proto != protocol::kTcp || packet.Has(kRst)) return;
    send_({.source = packet.destination,
           .destination = packet.source,
           .proto = protocol::kTcp,
           .flags = kRst,
           .seq = packet.ack});
  }

  // Follows the stream's state after each event.
  void Settle(const flow_ptr& f, time_point now) {
    if (f->stream->state() == tcp_state::kOpen && !f->is_accepted)
      OnAccepted(f, now);
    f->received += f->stream->TakeReceived();
    if (f->run.spec.is_feed) ReadFeed(f, now);
    const tcp_state state = f->stream->state();
    if (state == tcp_state::kReset) {
      EndDead(f, "reset",
              f->is_accepted ? flow_outcome::kBroken : flow_outcome::kRefused,
              now);
    } else if (state == tcp_state::kFailed) {
      EndDead(f, "nothing acknowledged",
              f->is_accepted ? flow_outcome::kBroken : flow_outcome::kTimedOut,
              now);
    } else if (f->stream->peer_closed()) {
      OnPeerClosed(f, now);
    }
    Arm(f);
  }

  void Arm(const flow_ptr& f) {
    if (f->is_armed || !f->stream->due()) return;
    f->is_armed = true;
    frame_.timers().Schedule(*f->stream->due(), [this, f](time_point then) {
      f->is_armed = false;
      f->stream->OnTimer(then);
      Settle(f, then);
    });
  }

  void OnAccepted(const flow_ptr& f, time_point now) {
    f->is_accepted = true;
    f->run.RecordAccepted(now);
    f->last_push = now;
    f->stream->Write(ToRequestLine(f->sent_request), now);
    if (!f->run.spec.is_feed) return;
    ++f->run.alive;
    SendLine(f, now);
    const seconds feed_duration = f->run.spec.feed_duration;
    if (feed_duration == seconds(0)) return;
    frame_.timers().Schedule(now + feed_duration, [this, f](time_point then) {
      CloseFeed(f, then);
    });
  }

  void SendLine(const flow_ptr& f, time_point now) {
    if (f->is_closing || f->is_done || f->lines_sent == f->run.spec.lines)
      return;
    ++f->run.lines_sent;
    f->stream->Write("line=" + std::to_string(f->lines_sent++) + "\n", now);
    Arm(f);
    frame_.timers().Schedule(now + f->run.spec.line_interval,
                             [this, f](time_point then) { SendLine(f, then); });
  }

  void ReadFeed(const flow_ptr& f, time_point now) {
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
        End(f, flow_outcome::kWrong, "feed line: " + line, now);
      }
      f->run.echoes += echo.empty() ? 0 : 1;
      f->last_push = now;
    }
  }

  void OnPeerClosed(const flow_ptr& f, time_point now) {
    if (!f->run.spec.is_feed) {
      EndAnswered(f, now);
    } else if (f->is_closing) {
      End(f, flow_outcome::kCompleted, "", now);
    } else {
      End(f, flow_outcome::kBroken, "feed ended by its upstream", now);
    }
    f->stream->Close(now);
  }

  void CloseFeed(const flow_ptr& f, time_point now) {
    if (f->is_done || f->is_closing) return;
    f->is_closing = true;
    f->stream->Close(now);
    Arm(f);
  }

  void EndAnswered(const flow_ptr& f, time_point now) {
    if (IsCompleteResponse(f->sent_request, f->received)) {
      End(f, flow_outcome::kCompleted, "", now);
      return;
    }
    const bool is_part = f->received.size() < f->sent_request.bytes;
    End(f, flow_outcome::kWrong,
        (is_part ? "partial answer: " : "wrong answer: ") +
            f->received.substr(0, 80),
        now);
  }

  // Silence is a fault of an accepted flow only; feeds are watched on and on.
  void OnDeadline(const flow_ptr& f, time_point now) {
    if (f->is_done) return;
    if (f->run.spec.is_feed && f->is_accepted &&
        now - f->last_push < f->run.spec.timeout) {
      frame_.timers().Schedule(
          f->last_push + f->run.spec.timeout,
          [this, f](time_point then) { OnDeadline(f, then); });
      return;
    }
    if (f->stream) f->stream->Abort();
    EndDead(f, f->is_accepted ? "silence" : "never accepted",
            f->is_accepted ? flow_outcome::kBroken : flow_outcome::kTimedOut,
            now);
  }

  void EndDead(const flow_ptr& f, const std::string& reason, flow_outcome how,
               time_point now) {
    End(f, how, reason, now);
    flows_.erase(f->key);
  }

  void End(const flow_ptr& f, flow_outcome how, const std::string& reason,
           time_point now) {
    if (f->is_done) return;
    f->is_done = true;
    if (f->run.spec.is_feed && f->is_accepted) --f->run.alive;
    f->run.RecordEnd(how, f->sent_request.id, reason, now - f->started_at);
    f->received = {};
    frame_.timers().Schedule(now + kLinger,
                             [this, f](time_point) { flows_.erase(f->key); });
  }

  // Answers once `holds` says so, at the latest at `until`.
  void AnswerWhen(const std::function<bool()>& holds,
                  const std::function<void(bool held)>& answer,
                  time_point until) {
    const bool held = holds();
    if (held || Now() >= until) return answer(held);
    frame_.timers().Schedule(Now() + kPoll, [=, this](time_point) {
      AnswerWhen(holds, answer, until);
    });
  }

  bool IsSettled() const {
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
            {"unsent", frame_.data().unsent()}};
  }

  json Refused() const {
    json ids = json::array();
    for (const load_run& run : runs_)
      for (const std::string& id : run.refused_ids) ids.push_back(id);
    return {{"ids", ids}};
  }

  stand_in& frame_;
  endpoint fabric_;
  uint32_t seq_;
  tcp_stream::sender send_;
  std::list<load_run> runs_;  ///< A list, as flows refer to their run.
  absl::flat_hash_map<flow_key, flow_ptr> flows_;
  std::map<uint32_t, uint32_t> next_flow_;  ///< By the number of callers.
  int64_t strays_ = 0;                      ///< Packets of no known flow.
};

}  // namespace
}  // namespace radishyard

int main(int argc, const char** argv) {
  using namespace radishyard;  // NOLINT(google-build-using-namespace)
  const stand_in_options options = ParseStandInOptions(argc, argv);
  stand_in frame("callers", options);
  callers all(frame, options);
  all.AddCommands();
  frame.Run(
      [&](byte_span datagram, const endpoint&) { all.Receive(datagram); });
}
