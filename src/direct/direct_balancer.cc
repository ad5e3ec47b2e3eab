// Connects the sockets, the registry and the forwarding decisions. Everything
// runs on the thread of the io_context.
#include "direct/direct_balancer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "admin/admin_server.h"
#include "direct/direct_counters.h"
#include "direct/evacuation_coordinator.h"
#include "direct/forward/decision_log.h"
#include "direct/forward/forwarder.h"
#include "direct/idle_stop.h"
#include "direct/interruption.h"
#include "direct/start_coordinator.h"
#include "direct/view/peer_exchange.h"
#include "direct/view/registry_follower.h"
#include "direct/view/start_policy.h"
#include "direct/view/table_confirmation.h"
#include "observe/guard.h"
#include "observe/log.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;
using udp = asio::ip::udp;

/// Size of the receive buffer: the headroom and one packet, with room to spare.
constexpr size_t kDatagramBytes = 2048;
/// Packets handled in one turn before other handlers of the io_context run.
constexpr int kMaxPacketsPerTurn = 64;
constexpr int kReceiveBufferBytes = 1 << 20;
/// Most packets held until table and upstreams are known, so that callers need
/// not retransmit them. At a high packet rate this is a fraction of a second.
constexpr size_t kMaxHeldPackets = 1024;
constexpr duration kMaintenanceInterval = 200ms;
/// A balancer that receives the upstream list from other balancers reads the
/// registry itself once its list is older than this many list intervals.
constexpr double kStaleListIntervals = 1.5;

udp::endpoint ToUdp(const endpoint& e) {
  return {asio::ip::address_v4(e.address), e.port};
}

}  // namespace

class direct_balancer::core {
 public:
  core(asio::io_context& io, const direct_settings& config,
       const packet_codec& codec, registry& source)
      : io_(io),
        config_(config),
        codec_(codec),
        source_(source),
        socket_(io, ToUdp(config.traffic)),
        maintenance_timer_(io),
        stop_(io),
        peers_(io, config.peer,
               {PublicPeerAddress(config), config.domain,
                config.capacity_millicores},
               config.peers, config.link_mbps, state_, MakeExchangeHandlers()),
        starts_(source.Claims(), state_, config.start,
                MakeStartEnvironment(peers_, config)),
        times_(MakeFollowerTimes(config.drain_bound, config.edit_bound)),
        follower_(io, source, times_, MakeFollowerHandlers(),
                  std::hash<std::string>()(config.name)) {
    state_.domain = config.domain;
    if (config.evacuation_bound) FollowEvacuations(io, source);
    state_.spill.is_enabled = config.spill_over;
    state_.directory.max_list_gap = times_.list_interval + kReadTimeAllowance;
    socket_.non_blocking(true);
    error_code ignored;  // A smaller buffer only drops packets earlier.
    socket_.set_option(udp::socket::receive_buffer_size(kReceiveBufferBytes),
                       ignored);
    OpenHttpPages();
  }

  void Start() {
    Log(severity::kInfo, "started",
        {{"name", config_.name}, {"domain", config_.domain}});
    // The others are asked first; the follower reads only what they lack.
    peers_.Start();
    follower_.Start();
    if (evacuations_) evacuations_->Start();
    WaitForPackets();
    RunMaintenance();
  }

  void Stop() { stop_.Begin(config_.name, config_.stop_grace); }

  void Reconfigure(const direct_settings& config) {
    config_.stop_grace = config.stop_grace;
    peers_.SetSeeds(config.peers);
  }

 private:
  follower_handlers MakeFollowerHandlers() {
    return {.on_list = [this](const upstream_list& list,
                              time_point at) { HandleUpstreamList(list, at); },
            .on_table = [this](routing_table t) { HandleTable(std::move(t)); },
            .on_platform_state =
                [this](const std::string& name, const std::string& reason) {
                  HandlePlatformState(name, reason);
                },
            .needs_list = [this] { return NeedsList(clock::now()); },
            .needs_table = [this] { return NeedsTable(clock::now()); }};
  }

  exchange_handlers MakeExchangeHandlers() {
    return {
        .on_snapshot =
            [this](const endpoint& peer, const snapshot_effect& effect) {
              HandlePeerSnapshot(peer, effect);
            },
        .on_evacuations =
            [this](const endpoint& peer) {
              LogEvacuations(ToString(peer), state_.evacuations);
              // The requests may be the last that IsReady() lacked.
              CheckReady();
            },
        .watches_table =
            [this] { return follower_.IsFollowingTable(clock::now()); },
        .table_read_at = [this] { return follower_.table_read_at(); },
        .on_activity = [this] { DetectPause(clock::now()); },
        .on_grant_request = [this](const auto& m) { starts_.HandleRequest(m); },
        .on_grant_reply = [this](const auto& m) { starts_.HandleReply(m); }};
  }

  bool AwaitsPeers(time_point now) const {
    const endpoint self = PublicPeerAddress(config_);
    const bool has_seeds =
        std::any_of(config_.peers.begin(), config_.peers.end(),
                    [&self](const endpoint& seed) { return seed != self; });
    return AwaitsPeerView({.started_at = started_at_,
                           .has_seeds = has_seeds,
                           .is_first_start = config_.is_first_start,
                           .is_reader = peers_.IsRegistryReader(now),
                           .has_members = peers_.HasMembers(now),
                           .is_fetching = peers_.IsFetching()},
                          now);
  }

  /// The first list is read after the table, because the services decide which
  /// of several entries has an id. Neither is of use without the other.
  bool NeedsList(time_point now) const {
    if (!state_.directory.has_list)
      return state_.table.version != 0 && !AwaitsPeers(now);
    if (peers_.IsRegistryReader(now)) return true;
    const auto stale = std::chrono::duration_cast<duration>(
        times_.list_interval * kStaleListIntervals);
    return now - state_.directory.read_at > stale;
  }

  bool NeedsTable(time_point now) const {
    if (state_.table.version == 0) return !AwaitsPeers(now);
    return peers_.IsRegistryReader(now) ||
           !IsTableRelayAllowed(times_.watch_wait, config_.edit_bound) ||
           !IsTableConfirmed(peers_.confirmation(),
                             TableConfirmationTimeout(config_.edit_bound), now);
  }

  void FollowEvacuations(asio::io_context& io, registry& source) {
    evacuations_.emplace(
        io, source,
        evacuation_options{*config_.evacuation_bound,
                           std::hash<std::string>()(config_.name)},
        state_, peers_,
        evacuation_callbacks{
            .awaits_peers = [this] { return AwaitsPeers(clock::now()); },
            .on_read =
                [this] {
                  ++counters_.evacuation_reads;
                  CheckReady();
                },
            .on_platform_state =
                [this](const std::string& reason) {
                  HandlePlatformState("evacuations", reason);
                }});
  }

  void HandlePeerSnapshot(const endpoint& peer, const snapshot_effect& effect) {
    Log(severity::kInfo, "peer_view",
        {{"peer", ToString(peer)},
         {"table", state_.table.version},
         {"revision", state_.directory.revision.number},
         {"age_ms", ListAgeMs(state_.directory, clock::now())},
         {"table_taken", effect.table_applied ? "yes" : "no"},
         {"list_taken", effect.list_applied ? "yes" : "no"}});
    LogDirectoryChanges(effect.changes, state_.directory.revision.number);
    if (effect.table_applied) source_.SetServices(ListServices(state_.table));
    if (effect.evacuations_changed)
      LogEvacuations(ToString(peer), state_.evacuations);
    starts_.Update(clock::now());
    CheckReady();
  }

  void OpenHttpPages() {
    readiness_server_.emplace(
        io_, config_.ready,
        admin_server::page_map{
            {"/readiness", [this] { return MakeReadinessPage(); }}});
    metrics_server_.emplace(
        io_, config_.metrics,
        admin_server::page_map{
            {"/metrics", [this] {
               counters_.table_confirmed_at = LastTableConfirmation();
               return admin_page{
                   "text/plain",
                   RenderMetricsPage(counters_, state_, clock::now())};
             }}});
  }

  time_point LastTableConfirmation() const {
    return std::max(peers_.confirmation().at, follower_.table_read_at());
  }

  admin_page MakeReadinessPage() const {
    constexpr unsigned kOk = 200;
    constexpr unsigned kServiceUnavailable = 503;
    const bool is_ready = IsReady(state_) && !stop_.HasBegun();
    return {"text/plain", "", is_ready ? kOk : kServiceUnavailable};
  }

  void HandleUpstreamList(const upstream_list& list, time_point at) {
    DetectPause(clock::now());
    ++counters_.registry_reads;
    counters_.invalid_entries += list.invalid_entries;
    const uint64_t before = state_.digest;
    if (list.revision < state_.directory.revision) {
      ++counters_.older_lists;
      Log(severity::kWarn, "list_older",
          {{"revision", list.revision.number},
           {"known", state_.directory.revision.number}});
    }
    LogDirectoryChanges(ApplyUpstreamList(state_, list, at, clock::now()),
                        list.revision.number);
    starts_.Update(clock::now());
    CheckReady();
    if (peers_.IsRegistryReader(clock::now()) || state_.digest != before)
      peers_.ReportNow();
  }

  void HandleTable(routing_table table) {
    const uint64_t version = table.version;
    const uint64_t addresses = table.addresses.size();
    counters_.invalid_entries += table.invalid_entries;
    // The table in force, read as a whole again.
    if (version == state_.table.version) return;
    const bool taken = ApplyTable(state_, std::move(table));
    if (taken) ++counters_.tables_applied;
    if (taken) source_.SetServices(ListServices(state_.table));
    if (taken) starts_.Update(clock::now());
    Log(severity::kInfo, taken ? "table_taken" : "table_older",
        {{"version", version}, {"addresses", addresses}});
    CheckReady();
    if (taken) peers_.ReportNow();
  }

  void CheckReady() {
    if (was_ready_ || !IsReady(state_)) return;
    was_ready_ = true;
    Log(severity::kInfo, "ready",
        {{"version", state_.table.version},
         {"upstreams", uint64_t{state_.directory.upstreams.size()}},
         {"age_ms", ListAgeMs(state_.directory, clock::now())},
         {"held_packets", uint64_t{held_packets_.size()}}});
    HandleHeldPackets();
  }

  void HandlePlatformState(const std::string& name, const std::string& reason) {
    if (!reason.empty()) ++counters_.platform_losses;
    Log(reason.empty() ? severity::kInfo : severity::kWarn,
        reason.empty() ? "platform_regained" : "platform_lost",
        {{"reading", name}, {"reason", reason}});
  }

  void WaitForPackets() {
    socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
      if (error) return;
      for (int i = 0; i < kMaxPacketsPerTurn && ReceivePacket(); ++i) {
      }
      WaitForPackets();
    });
  }

  /// Receives and handles one packet.
  /// \returns false if no packet was waiting.
  bool ReceivePacket() {
    const size_t headroom = codec_.HeadroomBytes();
    error_code error;
    udp::endpoint from;
    const size_t size =
        socket_.receive_from(asio::buffer(receive_buffer_.data() + headroom,
                                          receive_buffer_.size() - headroom),
                             from, 0, error);
    if (error) return error != asio::error::would_block;
    const time_point now = clock::now();
    stop_.RecordPacket(now);
    DetectPause(now);
    const mutable_bytes datagram(receive_buffer_.data(), headroom + size);
    // A decision changes only the statistics of flows, which may be lost.
    RunGuarded("packet", [&] {
      IsReady(state_) ? HandlePacket(datagram) : HoldPacket(datagram);
    });
    return true;
  }

  void HoldPacket(mutable_bytes datagram) {
    if (held_packets_.size() < kMaxHeldPackets)
      held_packets_.emplace_back(datagram.begin(), datagram.end());
    else
      ++counters_.verdicts[static_cast<size_t>(verdict_reason::kNotReady)];
  }

  /// Handles the packets that arrived before table and upstreams were known.
  void HandleHeldPackets() {
    for (std::vector<uint8_t>& datagram : std::exchange(held_packets_, {}))
      HandlePacket(datagram);
  }

  void HandlePacket(mutable_bytes datagram) {
    failure why;
    const auto packet =
        codec_.Decode(datagram.subspan(codec_.HeadroomBytes()), why);
    if (!packet) {
      ++counters_.malformed;
      return;
    }
    if (packet->is_opening && packet->retransmission_count > 0)
      ++counters_.opening_retransmissions;
    const time_point now = clock::now();
    const verdict decision =
        RoutePacket(state_, *packet, now, ReadSuspensionClock());
    ++counters_.verdicts[static_cast<size_t>(decision.reason)];
    LogVerdict(*packet, decision, state_, now);
    if (decision.wanted_start != 0) starts_.RequestGrant(decision.wanted_start);
    if (decision.first_sent_at) peers_.ReportSilence(decision.upstream);
    if (decision.action == verdict_action::kForward)
      ForwardPacket(datagram, *packet, decision);
    if (decision.action == verdict_action::kRefuse) SendRefusal(*packet);
  }

  void ForwardPacket(mutable_bytes datagram, const direct_packet& packet,
                     const verdict& decision) {
    codec_.SetUpstream(datagram, decision.upstream);
    if (packet.is_opening) codec_.SetMark(datagram, decision.mark);
    Send(datagram, ToUdp(decision.to));
  }

  void SendRefusal(const direct_packet& packet) {
    const std::vector<uint8_t> bytes = codec_.EncodeRefusal(packet);
    Send(bytes, ToUdp({packet.flow.caller.address, config_.traffic.port}));
  }

  void Send(std::span<const uint8_t> bytes, const udp::endpoint& to) {
    error_code error;
    socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, error);
    if (!error) return;
    ++counters_.send_failures;
    Log(severity::kWarn, "send_failed",
        {{"to", to.address().to_string()}, {"reason", error.message()}});
  }

  /// What other balancers confirmed before a pause may no longer hold.
  void DetectPause(time_point now) {
    const auto elapsed = interruptions_.DetectPause(now);
    if (!elapsed) return;
    Log(severity::kWarn, "paused",
        {{"ms", static_cast<uint64_t>(ToMs(*elapsed))}});
    state_.tracker.resumed_at = now;
    RecordPause(state_.directory, *elapsed, now);
    peers_.DiscardReceived();
  }

  /// Everything known is older than it appears by the time of a suspension.
  void DetectSuspension() {
    const auto elapsed = interruptions_.DetectSuspension();
    if (!elapsed) return;
    Log(severity::kWarn, "suspended",
        {{"ms", static_cast<uint64_t>(ToMs(*elapsed))}});
    state_.directory.read_at -= *elapsed;
    RecordPause(state_.directory, *elapsed, clock::now());
    RecordSuspension(state_.evacuations, *elapsed);
    peers_.RecordSuspension(*elapsed);
    follower_.RecordSuspension(*elapsed);
    starts_.RecordSuspension();
  }

  /// Logs once that the list is of a later epoch than the lists before.
  void DetectStoreReturn() {
    const store_revision& known = state_.directory.revision;
    if (known.epoch == logged_epoch_) return;
    const uint64_t before = std::exchange(logged_epoch_, known.epoch);
    if (before == 0) return;
    ++counters_.store_returns;
    Log(severity::kWarn, "epoch_entered",
        {{"epoch_before", before},
         {"epoch", known.epoch},
         {"revision", known.number},
         {"kept", CountKeptUpstreams(state_.directory)}});
  }

  void MaintainState(time_point now) {
    DetectPause(now);
    starts_.Update(now);
    LogDirectoryChanges(DeregisterMissing(state_.directory, now),
                        state_.directory.revision.number);
    DetectStoreReturn();
    FailOverdueRequests(state_.tracker, state_.directory, now);
    LogHealthChanges(UpdateHealthStates(state_, now), state_.directory);
    LogShareChanges(UpdateLoads(state_, now));
    MaintainAdmission(now);
    ExpireIdleFlows(state_.tracker, state_.directory, state_.table.idle_timeout,
                    now);
  }

  void MaintainAdmission(time_point now) {
    if (!config_.is_admission_enabled) return;
    UpdateAdmissions(state_.admissions, state_.table, state_.tracker.demands,
                     state_.loads, now);
    state_.tracker.is_queueing = IsQueueing(state_.admissions);
    LogSummaries(
        TakeSummaries(state_.admission_decisions, state_.admissions, now));
  }

  void RunMaintenance() {
    DetectSuspension();
    // The steps change statistics alone, and the next run repeats them.
    RunGuarded("maintenance", [this] { MaintainState(clock::now()); });
    maintenance_timer_.expires_after(kMaintenanceInterval);
    maintenance_timer_.async_wait([this](error_code error) {
      if (!error) RunMaintenance();
    });
  }

  asio::io_context& io_;
  direct_settings config_;
  const packet_codec& codec_;
  registry& source_;
  forwarding_state state_;
  direct_counters counters_;
  interruption_monitor interruptions_;
  time_point started_at_ = clock::now();
  bool was_ready_ = false;
  uint64_t logged_epoch_ = 0;  ///< Of the list, as last logged.
  std::array<uint8_t, kDatagramBytes> receive_buffer_{};
  /// Datagrams with headroom that arrived before IsReady().
  std::vector<std::vector<uint8_t>> held_packets_;
  udp::socket socket_;
  asio::steady_timer maintenance_timer_;
  idle_stop stop_;
  std::optional<admin_server> readiness_server_;
  std::optional<admin_server> metrics_server_;
  peer_exchange peers_;
  start_coordinator starts_;
  follower_times times_;
  registry_follower follower_;
  std::optional<evacuation_coordinator> evacuations_;
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
