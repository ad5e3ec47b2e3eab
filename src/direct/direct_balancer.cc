// Wires sockets, registry and decisions together on one thread.
#include "direct/direct_balancer.h"

#include <array>
#include <utility>

#include "admin/admin_server.h"
#include "direct/direct_counters.h"
#include "direct/forwarder.h"
#include "direct/peer_exchange.h"
#include "direct/registry_follower.h"
#include "observe/log.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;
using udp = asio::ip::udp;

/// Longest datagram that is read: a packet and room to spare.
constexpr size_t kDatagramBytes = 2048;
/// Packets handled before other work gets its turn.
constexpr int kPacketsPerTurn = 64;
constexpr int kReceiveBufferBytes = 1 << 20;
/// Share of the drain bound between two readings of the registry: a reading
/// that fails leaves time for another.
constexpr int kReadingsPerBound = 2;
/// Ends this long before the grace period does.
constexpr duration kStopMargin = 700ms;
/// Routers need about a second to take a balancer out of their rotation.
constexpr duration kShortestStop = 1300ms;
/// Without a packet for so long, a balancer that is stopping is out of use.
constexpr duration kQuiet = 500ms;
constexpr duration kStopCheckInterval = 100ms;
/// Packets kept until table and upstreams are known, so that callers need not
/// send them again: a fraction of a second at a high rate.
constexpr size_t kHeldPackets = 1024;
constexpr duration kUpkeepInterval = 200ms;
/// A balancer that is told by others reads itself once its list is older than
/// this many intervals.
constexpr double kStaleIntervals = 1.5;
constexpr duration kShortestSuspension = 300ms;
constexpr duration kShortestPause = 500ms;

udp::endpoint ToUdp(const endpoint& e) {
  return {asio::ip::address_v4(e.address), e.port};
}

follower_times TimesFor(const direct_settings& config) {
  follower_times times;
  times.list_interval = config.drain_bound / kReadingsPerBound;
  return times;
}

/// Time that this VM has been suspended since it started.
duration SuspendedTime() {
  timespec whole{};
  clock_gettime(CLOCK_BOOTTIME, &whole);
  return seconds(whole.tv_sec) + std::chrono::nanoseconds(whole.tv_nsec) -
         clock::now().time_since_epoch();
}

std::string_view ToName(directory_change::kind what) {
  constexpr std::array<std::string_view, 6> kNames{
      "upstream_joined",  "upstream_restarted", "upstream_returned",
      "upstream_leaving", "upstream_gone",      "upstream_missing"};
  return kNames.at(static_cast<size_t>(what));
}

}  // namespace

class direct_balancer::core {
 public:
  core(asio::io_context& io, const direct_settings& config,
       const packet_codec& codec, registry& source)
      : io_(io),
        config_(config),
        codec_(codec),
        socket_(io, ToUdp(config.traffic)),
        upkeep_(io),
        stop_(io),
        peers_(io, config.peer,
               {PublicPeerAddress(config), config.domain, config.size},
               config.peers, state_, PeerHandlers()),
        times_(TimesFor(config)),
        follower_(io, source, times_, Handlers(),
                  std::hash<std::string>()(config.name)) {
    state_.domain = config.domain;
    socket_.non_blocking(true);
    error_code ignored;  // A smaller buffer drops packets earlier, no more.
    socket_.set_option(udp::socket::receive_buffer_size(kReceiveBufferBytes),
                       ignored);
    OpenPages();
  }

  void Start() {
    Log(severity::kInfo, "started",
        {{"name", config_.name}, {"domain", config_.domain}});
    follower_.Start();
    peers_.Start();
    Receive();
    Upkeep();
  }

  void Stop() {
    if (is_leaving_) return;
    is_leaving_ = true;
    Log(severity::kInfo, "stopping", {{"name", config_.name}});
    const time_point now = clock::now();
    CheckStop(now + kShortestStop, now + config_.stop_grace - kStopMargin);
  }

  void Reconfigure(const direct_settings& config) {
    config_.stop_grace = config.stop_grace;
    peers_.SetSeeds(config.peers);
  }

 private:
  follower_handlers Handlers() {
    return {.on_list = [this](const upstream_list& list,
                              time_point at) { TakeList(list, at); },
            .on_table = [this](routing_table t) { TakeNewTable(std::move(t)); },
            .on_state =
                [this](const std::string& name, const std::string& reason) {
                  TakeState(name, reason);
                },
            .needs_list = [this] { return NeedsList(clock::now()); },
            .needs_table = [this] { return NeedsTable(clock::now()); }};
  }

  exchange_handlers PeerHandlers() {
    return {.on_snapshot =
                [this](const endpoint& peer, const snapshot_effect& effect) {
                  TakePeerView(peer, effect);
                },
            .watches_table =
                [this] { return follower_.FollowsTable(clock::now()); }};
  }

  bool NeedsList(time_point now) const {
    if (!state_.directory.is_filled || peers_.IsReader(now)) return true;
    const auto stale = std::chrono::duration_cast<duration>(
        times_.list_interval * kStaleIntervals);
    return now - state_.directory.read_at > stale;
  }

  bool NeedsTable(time_point now) const {
    return peers_.IsReader(now) ||
           !MayRelayTable(times_.list_interval, config_.edit_bound) ||
           now - peers_.table_confirmed_at() > kTableUnconfirmed;
  }

  void TakePeerView(const endpoint& peer, const snapshot_effect& effect) {
    Log(severity::kInfo, "peer_view",
        {{"peer", ToString(peer)},
         {"table", state_.table.version},
         {"revision", state_.directory.revision},
         {"age_ms", AgeMs(clock::now())},
         {"table_taken", effect.table_taken ? "yes" : "no"},
         {"list_taken", effect.list_taken ? "yes" : "no"}});
    LogChanges(effect.changes, state_.directory.revision);
    BecomeReady();
  }

  void LogChanges(const std::vector<directory_change>& changes,
                  uint64_t revision) const {
    for (const directory_change& change : changes)
      Log(severity::kInfo, ToName(change.what),
          {{"upstream", ToHex(change.upstream)}, {"revision", revision}});
  }

  void OpenPages() {
    ready_page_.emplace(
        io_, config_.ready,
        admin_server::page_map{{"/readiness", [this] { return ReadyPage(); }}});
    metrics_page_.emplace(
        io_, config_.metrics,
        admin_server::page_map{
            {"/metrics", [this] {
               return admin_page{"text/plain",
                                 MetricsPage(counters_, state_, clock::now())};
             }}});
  }

  admin_page ReadyPage() const {
    constexpr unsigned kOk = 200;
    constexpr unsigned kServiceUnavailable = 503;
    const bool is_ready = IsReady(state_) && !is_leaving_;
    return {"text/plain", "", is_ready ? kOk : kServiceUnavailable};
  }

  void TakeList(const upstream_list& list, time_point at) {
    ++counters_.lists;
    counters_.invalid_entries += list.invalid_entries;
    const uint64_t before = state_.digest;
    LogChanges(ApplyUpstreamList(state_, list, at, clock::now()),
               list.revision);
    BecomeReady();
    if (peers_.IsReader(clock::now()) || state_.digest != before)
      peers_.ReportNow();
  }

  void TakeNewTable(routing_table table) {
    const uint64_t version = table.version;
    const uint64_t addresses = table.addresses.size();
    counters_.invalid_entries += table.invalid_entries;
    const bool taken = ApplyTable(state_, std::move(table));
    if (taken) ++counters_.tables;
    Log(severity::kInfo, taken ? "table_taken" : "table_older",
        {{"version", version}, {"addresses", addresses}});
    BecomeReady();
    if (taken) peers_.ReportNow();
  }

  void BecomeReady() {
    if (was_ready_ || !IsReady(state_)) return;
    was_ready_ = true;
    Log(severity::kInfo, "ready",
        {{"version", state_.table.version},
         {"upstreams", uint64_t{state_.directory.upstreams.size()}},
         {"age_ms", AgeMs(clock::now())},
         {"held_packets", uint64_t{held_.size()}}});
    HandleHeld();
  }

  void TakeState(const std::string& name, const std::string& reason) {
    if (!reason.empty()) ++counters_.platform_losses;
    Log(reason.empty() ? severity::kInfo : severity::kWarn,
        reason.empty() ? "platform_regained" : "platform_lost",
        {{"reading", name}, {"reason", reason}});
  }

  /// Ends once no packet comes any more, between `earliest` and `latest`.
  void CheckStop(time_point earliest, time_point latest) {
    const time_point now = clock::now();
    const bool is_quiet = now - received_at_ >= kQuiet;
    if (now >= latest || (now >= earliest && is_quiet)) {
      Log(severity::kInfo, "stopped",
          {{"name", config_.name}, {"quiet", is_quiet ? "yes" : "no"}});
      io_.stop();
      return;
    }
    stop_.expires_after(kStopCheckInterval);
    stop_.async_wait([this, earliest, latest](error_code error) {
      if (!error) CheckStop(earliest, latest);
    });
  }

  void Receive() {
    socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
      if (error) return;
      for (int i = 0; i < kPacketsPerTurn && ReceiveOne(); ++i) {
      }
      Receive();
    });
  }

  /// \returns false where no packet was waiting.
  bool ReceiveOne() {
    const size_t room = codec_.HeadroomBytes();
    error_code error;
    udp::endpoint from;
    const size_t size = socket_.receive_from(
        asio::buffer(buffer_.data() + room, buffer_.size() - room), from, 0,
        error);
    if (error) return error != asio::error::would_block;
    received_at_ = clock::now();
    NoticePause(received_at_);
    const mutable_bytes datagram(buffer_.data(), room + size);
    IsReady(state_) ? Handle(datagram) : Hold(datagram);
    return true;
  }

  void Hold(mutable_bytes datagram) {
    if (held_.size() < kHeldPackets)
      held_.emplace_back(datagram.begin(), datagram.end());
    else
      ++counters_.verdicts[static_cast<size_t>(verdict_reason::kNoTable)];
  }

  /// Handles what came before the first table and list of upstreams.
  void HandleHeld() {
    for (std::vector<uint8_t>& datagram : std::exchange(held_, {}))
      Handle(datagram);
  }

  void Handle(mutable_bytes datagram) {
    failure why;
    const auto packet =
        codec_.Decode(datagram.subspan(codec_.HeadroomBytes()), why);
    if (!packet) {
      ++counters_.malformed;
      return;
    }
    if (packet->is_opening && packet->retransmission_count > 0)
      ++counters_.opening_copies;
    const time_point now = clock::now();
    const verdict decided = RoutePacket(state_, *packet, now);
    ++counters_.verdicts[static_cast<size_t>(decided.reason)];
    LogDecision(*packet, decided, now);
    if (decided.what == verdict_kind::kForward)
      Forward(datagram, *packet, decided);
    if (decided.what == verdict_kind::kRefuse) SendRefusal(*packet);
  }

  /// One line for each decision but the ordinary one, to send on by the mark.
  void LogDecision(const direct_packet& packet, const verdict& decided,
                   time_point now) const {
    if (packet.is_opening) {
      Log(severity::kInfo, "opening",
          {{"flow", ToString(packet.flow)},
           {"copy", uint64_t{packet.retransmission_count}},
           {"decision", radishyard::ToName(decided.reason)},
           {"upstream", ToHex(decided.upstream)},
           {"mark", uint64_t{decided.mark}},
           {"table", state_.table.version},
           {"revision", state_.directory.revision},
           {"age_ms", AgeMs(now)}});
    } else if (decided.what != verdict_kind::kForward) {
      Log(severity::kWarn,
          decided.what == verdict_kind::kRefuse ? "flow_reset"
                                                : "packet_dropped",
          {{"flow", ToString(packet.flow)},
           {"decision", radishyard::ToName(decided.reason)},
           {"mark", uint64_t{packet.mark}},
           {"revision", state_.directory.revision},
           {"age_ms", AgeMs(now)}});
    } else if (decided.repeats) {
      Log(severity::kWarn, "data_repeated",
          {{"flow", ToString(packet.flow)},
           {"upstream", ToHex(decided.upstream)},
           {"unanswered_ms",
            static_cast<uint64_t>(ToMs(now - *decided.repeats))}});
    }
  }

  /// Age of what is known of the upstreams.
  uint64_t AgeMs(time_point now) const {
    return static_cast<uint64_t>(ToMs(now - state_.directory.read_at));
  }

  void Forward(mutable_bytes datagram, const direct_packet& packet,
               const verdict& decided) {
    codec_.SetUpstream(datagram, decided.upstream);
    if (packet.is_opening) codec_.SetMark(datagram, decided.mark);
    Send(datagram, ToUdp(decided.to));
  }

  void SendRefusal(const direct_packet& packet) {
    const std::vector<uint8_t> bytes = codec_.EncodeRefusal(packet);
    Send(bytes, ToUdp({packet.flow.caller.address, config_.traffic.port}));
  }

  void Send(std::span<const uint8_t> bytes, const udp::endpoint& to) {
    error_code error;
    socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, error);
    if (error) ++counters_.send_failures;
  }

  void LogBeliefs(time_point now) {
    for (const belief_change& change : ReviewBeliefs(state_, now)) {
      const upstream_stats& load =
          state_.directory.upstreams.at(change.upstream).load;
      Log(severity::kInfo, "upstream_believed",
          {{"upstream", ToHex(change.upstream)},
           {"before", radishyard::ToName(change.before)},
           {"after", radishyard::ToName(change.after)},
           {"unanswered", uint64_t{load.unanswered}},
           {"repetitions", uint64_t{load.repetitions}},
           {"failure_percent", static_cast<uint64_t>(100 * load.failure_rate)},
           {"flows", uint64_t{load.flows}},
           {"answer_ms", static_cast<uint64_t>(1000 * load.answer_s)}});
    }
  }

  /// Upkeep runs several times a second: a longer gap is a pause of the
  /// process.
  void NoticePause(time_point now) {
    const duration gap = now - awake_at_;
    awake_at_ = now;
    if (gap < kShortestPause) return;
    Log(severity::kWarn, "paused", {{"ms", static_cast<uint64_t>(ToMs(gap))}});
    state_.tracker.awake_since = now;
  }

  /// The steady clock stands still while the VM is suspended: what is known
  /// has grown older by that time.
  void NoticeSuspension() {
    const duration suspended = SuspendedTime();
    const duration gap = suspended - suspended_;
    suspended_ = suspended;
    if (gap < kShortestSuspension) return;
    Log(severity::kWarn, "suspended",
        {{"ms", static_cast<uint64_t>(ToMs(gap))}});
    state_.directory.read_at -= gap;
    follower_.ListNow();
  }

  void Upkeep() {
    NoticeSuspension();
    const time_point now = clock::now();
    NoticePause(now);
    FindOverdue(state_.tracker, state_.directory, now);
    LogBeliefs(now);
    ForgetIdle(state_.tracker, state_.directory, state_.table.idle_timeout,
               now);
    upkeep_.expires_after(kUpkeepInterval);
    upkeep_.async_wait([this](error_code error) {
      if (!error) Upkeep();
    });
  }

  asio::io_context& io_;
  direct_settings config_;
  const packet_codec& codec_;
  forwarding_state state_;
  direct_counters counters_;
  duration suspended_ = SuspendedTime();  ///< As of the last upkeep.
  time_point awake_at_ = clock::now();    ///< Last packet or upkeep.
  bool was_ready_ = false;
  bool is_leaving_ = false;
  std::array<uint8_t, kDatagramBytes> buffer_{};
  std::vector<std::vector<uint8_t>> held_;  ///< Until ready, with headroom.
  time_point received_at_{};                ///< Last packet.
  udp::socket socket_;
  asio::steady_timer upkeep_;
  asio::steady_timer stop_;
  std::optional<admin_server> ready_page_;
  std::optional<admin_server> metrics_page_;
  peer_exchange peers_;
  follower_times times_;
  registry_follower follower_;
};

direct_balancer::direct_balancer(asio::io_context& io,
                                 const direct_settings& config,
                                 const packet_codec& codec, registry& source)
    : core_(std::make_unique<core>(io, config, codec, source)) {}

direct_balancer::~direct_balancer() = default;

void direct_balancer::Start() { core_->Start(); }
void direct_balancer::Stop() { core_->Stop(); }
void direct_balancer::Reconfigure(const direct_settings& config) {
  core_->Reconfigure(config);
}

}  // namespace radishyard
