// Sends reports and notices over UDP, and decides when to fetch a snapshot.
// Both use the same address and port.
#include "direct/view/peer_exchange.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include "direct/forward/decision_log.h"
#include "direct/forward/silence.h"
#include "direct/view/load_exchange.h"
#include "direct/view/snapshot_fetcher.h"
#include "direct/view/snapshot_server.h"
#include "observe/guard.h"
#include "observe/log.h"
#include "peer/peer_codec.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;
using udp = asio::ip::udp;

/// Members that receive the report of one interval. It is high enough for all
/// members to receive the outcomes of failed requests soon.
constexpr size_t kTargetsPerReport = 16;
/// Most members that receive the immediate report of a newer list or table.
constexpr size_t kMaxUrgentTargets = 512;
/// Time between two discovery requests to the seeds.
constexpr duration kDiscoveryInterval = 10s;
/// The same while no other member of the domain is known.
constexpr duration kIsolatedDiscoveryInterval = 500ms;
/// Most members listed in a reply. The receiver discovers more through these.
constexpr size_t kMaxMembersPerReply = 16;
/// Longest report in bytes.
constexpr size_t kDatagramBytes = 8192;

static_assert(kBusyReportInterval >= kMinMeasurement,
              "a report would repeat the measurement of the one before");

udp::endpoint ToUdp(const endpoint& e) {
  return {asio::ip::address_v4(e.address), e.port};
}

}  // namespace

class peer_exchange::core : public std::enable_shared_from_this<core> {
 public:
  core(asio::io_context& io, const endpoint& listen, const view_member& self,
       std::vector<endpoint> seeds, uint32_t link_mbps, forwarding_state& state,
       exchange_handlers handlers)
      : seeds_(std::move(seeds)),
        state_(state),
        handlers_(std::move(handlers)),
        socket_(io, ToUdp(listen)),
        report_timer_(io),
        fetcher_(std::make_shared<snapshot_fetcher>(io, MakeFetchHandlers(),
                                                    counters_)),
        server_(
            io, listen, link_mbps,
            [this](const snapshot_request& request) {
              return IsReady(state_) ? std::optional(MakeSnapshot(
                                           state_, request, clock::now()))
                                     : std::nullopt;
            },
            counters_) {
    members_.self = self;
    socket_.non_blocking(true);
  }

  void Start() {
    WaitForReports();
    RunPeriodicTasks();
  }

  void Stop() {
    is_stopped_ = true;
    error_code ignored;
    socket_.close(ignored);
    report_timer_.cancel();
    fetcher_->Stop();
  }

  void DiscardReceived() {
    error_code error;
    udp::endpoint from;
    while (error != asio::error::would_block)
      socket_.receive_from(asio::buffer(receive_buffer_), from, 0, error);
  }

  /// Drops the known loads, whose ages do not contain a suspension.
  void DiscardLoads() { state_.spill.pool = {}; }

  void SendReports(size_t count) {
    const time_point now = clock::now();
    view_report report = MakeReport(now);
    report.load = MeasureLoad(state_, now);
    report.outcomes = ExtractOutcomes(state_);
    // The other parts have bounds. Without them, the members would take this
    // balancer for dead and not learn of evacuations.
    if (!FitsDatagram(report)) report.load = {};
    for (const endpoint& to :
         SelectReportTargets(members_, count, ++round_, now))
      Send(report, to);
  }

  void ReportSilence(upstream_id upstream) {
    const time_point now = clock::now();
    const auto notice = MakeSilenceNotice(state_, upstream, now);
    if (!notice) return;
    for (const view_member& member :
         FindLiveMembers(members_, members_.self.domain, now))
      SendNotice(*notice, member.peer);
  }

  bool IsFetching() const { return fetcher_->IsActive(); }

  void Send(const peer_message& message, const endpoint& to) {
    SendToAll(message, {&to, 1});
  }

  peer_members members_;
  std::vector<endpoint> seeds_;
  table_confirmation table_confirmation_;

 private:
  view_report MakeReport(time_point now) const {
    view_report report;
    report.self = members_.self;
    report.watches_table = handlers_.watches_table();
    report.table_version = state_.table.version;
    report.revision = state_.directory.revision.number;
    report.epoch = state_.directory.revision.epoch;
    report.digest = state_.digest;
    report.age_ms = static_cast<uint32_t>(
        std::max<int64_t>(0, ToMs(now - state_.directory.read_at)));
    report.outage_age_ms = OutageAgeMs(state_.directory, now);
    report.table_age_ms =
        ConfirmationAgeMs(table_confirmation_, handlers_.table_read_at(), now);
    report.evacuations = MakeEvacuationReport(state_.evacuations, now);
    return report;
  }

  static bool FitsDatagram(const peer_message& message) {
    failure why;
    const auto frame = EncodeFrame(message, why);
    return frame && frame->size() <= kDatagramBytes;
  }

  /// Logs once that a message was not sent: each of the following ones may be
  /// too long as well.
  void LogUnsent(const failure& why) {
    if (std::exchange(has_logged_unsent_, true)) return;
    Log(severity::kWarn, "peer_message_unsent",
        {{"reason", why.text.empty() ? "too long for a datagram" : why.text}});
  }

  void SendToAll(const peer_message& message, std::span<const endpoint> to) {
    failure why;
    const auto frame = EncodeFrame(message, why);
    if (!frame || frame->size() > kDatagramBytes) return LogUnsent(why);
    // Later reports replace a lost one, and each further retransmission of a
    // caller leads to another notice.
    error_code ignored;
    for (const endpoint& each : to)
      socket_.send_to(asio::buffer(*frame), ToUdp(each), 0, ignored);
  }

  void RunPeriodicTasks() {
    if (is_stopped_) return;
    const time_point now = clock::now();
    ExpireMembers(members_, now);
    state_.has_peers =
        !FindLiveMembers(members_, members_.self.domain, now).empty();
    SendReports(kTargetsPerReport);
    SendLoadNotices(now);
    DiscoverMembers(now);
    report_timer_.expires_after(
        HasQueues(state_.loads, now) ? kBusyReportInterval : kReportInterval);
    report_timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->RunPeriodicTasks();
    });
  }

  /// Sends the sums of loads, if this balancer is a reader.
  void SendLoadNotices(time_point now) {
    if (!state_.spill.is_enabled) return;
    const auto members = FindLiveMembers(members_, members_.self.domain, now);
    const bool is_reader = radishyard::IsRegistryReader(members_, now);
    // Members that are no readers hear each other seldom, so many of those
    // known are not live here.
    UpdateOwnSum(state_, is_reader,
                 is_reader ? members.size() : CountKnown(members_), now);
    if (!is_reader) return;
    const load_notice notice = MakeMemberNotice(state_, members_.self, now);
    std::vector<endpoint> peers;
    peers.reserve(members.size());
    for (const view_member& member : members) peers.push_back(member.peer);
    SendToAll(notice, peers);
    const auto foreign = MakeDomainNotice(state_, members_.self, now);
    if (!foreign) return;
    SendToAll(*foreign, SelectForeignTargets(members_, round_, now));
  }

  /// Applies a notice of loads. Of another domain's notices a member that is no
  /// reader forwards those with fresher sums to the readers.
  void HandleLoadNotice(const load_notice& notice, time_point now) {
    if (notice.sender.peer == members_.self.peer) return;
    RecordMember(members_, notice.sender, now);
    const bool has_fresher_sums = ApplyLoadNotice(state_, notice, now);
    if (!has_fresher_sums || radishyard::IsRegistryReader(members_, now))
      return;
    // From a member of their own domain, so that readers do not forward it.
    // Flows of upstreams are left out: readers would take them for the sums of
    // their own domain.
    const load_notice forwarded{.sender = members_.self, .sums = notice.sums};
    for (const endpoint& to :
         SelectReportTargets(members_, kMaxReadersPerDomain, round_, now))
      Send(forwarded, to);
  }

  /// Requests the members of this balancer's domain from the seeds, more often
  /// while no other member is known.
  void DiscoverMembers(time_point now) {
    const bool is_isolated =
        FindLiveMembers(members_, members_.self.domain, now).empty();
    const duration pause =
        is_isolated ? kIsolatedDiscoveryInterval : kDiscoveryInterval;
    if (discovery_count_ > 0 && now - last_discovery_at_ < pause) return;
    last_discovery_at_ = now;
    ++discovery_count_;
    view_report discovery = MakeReport(now);
    discovery.wants_reply = true;
    for (const endpoint& seed : seeds_)
      if (seed != members_.self.peer) Send(discovery, seed);
  }

  void WaitForReports() {
    socket_.async_wait(udp::socket::wait_read,
                       [self = shared_from_this()](error_code error) {
                         if (error || self->is_stopped_) return;
                         if (self->handlers_.on_activity)
                           self->handlers_.on_activity();
                         while (self->ReceiveReport()) {
                         }
                         self->WaitForReports();
                       });
  }

  bool ReceiveReport() {
    error_code error;
    udp::endpoint from;
    const size_t size =
        socket_.receive_from(asio::buffer(receive_buffer_), from, 0, error);
    if (error) return error != asio::error::would_block;
    const frame_view frame = ParseFrame(
        {reinterpret_cast<const char*>(receive_buffer_.data()), size});
    if (frame.what != frame_view::status::kComplete) return true;
    failure why;
    const auto message = DecodePayload(frame.payload, why);
    // The steps are independent of each other, and later messages repeat them.
    if (message)
      RunGuarded("report", [&] { HandleMessage(*message, clock::now()); });
    return true;
  }

  void HandleMessage(const peer_message& message, time_point now) {
    if (const auto* report = std::get_if<view_report>(&message))
      return HandleReport(*report, now);
    if (const auto* loads = std::get_if<load_notice>(&message))
      return HandleLoadNotice(*loads, now);
    if (const auto* request = std::get_if<grant_request>(&message))
      return HandleGrantRequest(*request);
    if (const auto* reply = std::get_if<grant_reply>(&message))
      return HandleGrantReply(*reply);
    const auto* notice = std::get_if<silence_notice>(&message);
    if (notice == nullptr || notice->sender == members_.self.peer) return;
    const auto reply = ApplySilenceNotice(state_, *notice, now);
    LogNotice(*notice, reply.has_value());
    if (reply) SendNotice(*reply, notice->sender);
  }

  void HandleGrantRequest(const grant_request& request) {
    if (handlers_.on_grant_request) handlers_.on_grant_request(request);
  }

  void HandleGrantReply(const grant_reply& reply) {
    if (handlers_.on_grant_reply) handlers_.on_grant_reply(reply);
  }

  void HandleReport(const view_report& report, time_point now) {
    if (report.self.peer == members_.self.peer) return;
    RecordMember(members_, report.self, now);
    const size_t listed = std::min(report.members.size(), kMaxMembersPerReply);
    for (const view_member& m : std::span(report.members).first(listed))
      if (!members_.known.contains(m.peer)) ContactMember(m, now);
    if (report.wants_reply) SendReply(report.self, now);
    if (state_.spill.is_enabled && report.self.domain == state_.domain)
      RecordMemberLoad(state_.spill.pool, report.self.peer,
                       {report.load, report.digest, now});
    ApplyOutcomes(state_, report.outcomes, now);
    ApplyConfirmation(table_confirmation_, report, state_.table.version, now);
    const bool has_new_evacuations =
        ApplyEvacuationReport(state_, report.evacuations, now) ==
        evacuation_effect::kChanged;
    if (has_new_evacuations) handlers_.on_evacuations(report.self.peer);
    const report_effect effect = ApplyReport(state_, report, now);
    if (effect == report_effect::kFetchSnapshot && MayFetchFrom(report, now))
      fetcher_->AddSource(
          {report.self.peer, report.table_version, RevisionOf(report), now});
  }

  /// True if a snapshot may be fetched from the sender of `report`. Traffic
  /// between failure domains is scarce, so a member of another one is asked
  /// only if the own domain has no current view and no member that may have it.
  bool MayFetchFrom(const view_report& report, time_point now) const {
    const std::string& domain = members_.self.domain;
    if (report.self.domain == domain) return true;
    const bool is_stale =
        now - state_.directory.read_at > state_.directory.max_list_gap;
    if (IsReady(state_)) return is_stale;
    return std::none_of(report.members.begin(), report.members.end(),
                        [&](const view_member& m) {
                          return m.domain == domain &&
                                 m.peer != members_.self.peer;
                        });
  }

  /// Sends a discovery request to a new member that another one has listed, if
  /// it belongs to this balancer's domain.
  void ContactMember(const view_member& member, time_point now) {
    if (member.domain != members_.self.domain) return;
    if (member.peer == members_.self.peer) return;
    view_report discovery = MakeReport(now);
    discovery.wants_reply = true;
    Send(discovery, member.peer);
  }

  void SendReply(const view_member& to, time_point now) {
    view_report reply = MakeReport(now);
    reply.members = FindLiveMembers(members_, to.domain, now);
    std::erase(reply.members, to);
    if (reply.members.size() > kMaxMembersPerReply)
      reply.members.resize(kMaxMembersPerReply);
    Send(reply, to.peer);
  }

  void HandleSnapshot(const endpoint& peer, const view_snapshot& snapshot) {
    // The table and the list are each applied whole or repeated by the next
    // snapshot.
    RunGuarded("snapshot", [&] {
      if (handlers_.on_activity) handlers_.on_activity();
      const snapshot_effect effect =
          ApplySnapshot(state_, snapshot, clock::now());
      ConfirmFetchedTable(table_confirmation_, state_.table.version);
      handlers_.on_snapshot(peer, effect);
      // Others that the source is too busy to serve fetch the table from here.
      if (effect.table_applied) SendReports(kTargetsPerReport);
    });
  }

  /// Sends a notice to one balancer.
  void SendNotice(silence_notice notice, const endpoint& to) {
    notice.sender = members_.self.peer;
    Send(notice, to);
  }

  fetch_handlers MakeFetchHandlers() {
    return {.make_request = [this] { return MakeSnapshotRequest(state_); },
            .select =
                [this](std::vector<view_source>& sources) {
                  return SelectSource(sources, state_.table.version,
                                      state_.directory.revision, ++fetch_round_,
                                      clock::now());
                },
            .on_snapshot =
                [this](const endpoint& peer, const view_snapshot& snapshot) {
                  HandleSnapshot(peer, snapshot);
                }};
  }

  forwarding_state& state_;
  exchange_handlers handlers_;
  std::shared_ptr<peer_counters> counters_ = std::make_shared<peer_counters>();
  udp::socket socket_;
  asio::steady_timer report_timer_;
  std::shared_ptr<snapshot_fetcher> fetcher_;
  snapshot_server server_;
  std::array<uint8_t, kDatagramBytes> receive_buffer_{};
  time_point last_discovery_at_{};
  bool has_logged_unsent_ = false;
  uint64_t discovery_count_ = 0;  ///< Rounds of discovery requests so far.
  uint64_t round_ = 0;            ///< Rounds of reports so far.
  uint64_t fetch_round_ = 0;      ///< Fetches so far.
  bool is_stopped_ = false;
};

peer_exchange::peer_exchange(asio::io_context& io, const endpoint& listen,
                             const view_member& self,
                             const std::vector<endpoint>& seeds,
                             uint32_t link_mbps, forwarding_state& state,
                             exchange_handlers handlers)
    : core_(std::make_shared<core>(io, listen, self, seeds, link_mbps, state,
                                   std::move(handlers))) {}

peer_exchange::~peer_exchange() { core_->Stop(); }

void peer_exchange::Start() { core_->Start(); }

void peer_exchange::SetSeeds(const std::vector<endpoint>& seeds) {
  core_->seeds_ = seeds;
}

void peer_exchange::DiscardReceived() { core_->DiscardReceived(); }

void peer_exchange::RecordSuspension(duration elapsed) {
  core_->DiscardReceived();
  core_->DiscardLoads();
  radishyard::RecordSuspension(core_->table_confirmation_, elapsed);
}

void peer_exchange::ReportNow() { core_->SendReports(kMaxUrgentTargets); }

void peer_exchange::ReportSilence(upstream_id upstream) {
  core_->ReportSilence(upstream);
}

bool peer_exchange::IsFetching() const { return core_->IsFetching(); }

bool peer_exchange::HasMembers(time_point now) const {
  return !FindLiveMembers(core_->members_, core_->members_.self.domain, now)
              .empty();
}

bool peer_exchange::IsRegistryReader(time_point now) const {
  return radishyard::IsRegistryReader(core_->members_, now);
}

void peer_exchange::SendTo(const peer_message& message, const endpoint& to) {
  core_->Send(message, to);
}

std::vector<view_member> peer_exchange::FindMembers(const std::string& domain,
                                                    time_point now) const {
  std::vector<view_member> found =
      FindLiveMembers(core_->members_, domain, now);
  if (domain == core_->members_.self.domain)
    found.push_back(core_->members_.self);
  return found;
}

const table_confirmation& peer_exchange::confirmation() const {
  return core_->table_confirmation_;
}

}  // namespace radishyard
