// Sends reports over UDP and snapshots over short TCP connections. Both use the
// same address and port.
#include "direct/peer_exchange.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include "observe/guard.h"
#include "observe/log.h"
#include "peer/peer_codec.h"
#include "peer/peer_server.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;
using udp = asio::ip::udp;

constexpr duration kReportInterval = 1s;
/// Members that receive the report of one interval. It is high enough for all
/// members to receive the outcomes of failed requests soon.
constexpr size_t kTargetsPerReport = 16;
/// Most members that receive the immediate report of a newer list or table.
constexpr size_t kMaxUrgentTargets = 512;
/// Time between two discovery requests to the seeds.
constexpr duration kDiscoveryInterval = 10s;
/// The same while no other member of the domain is known.
constexpr duration kIsolatedDiscoveryInterval = 500ms;
/// A snapshot that takes longer is abandoned.
constexpr duration kFetchTimeout = 500ms;
/// Most members listed in a reply. The receiver discovers more through these.
constexpr size_t kMaxMembersPerReply = 16;
/// Longest report in bytes.
constexpr size_t kDatagramBytes = 8192;

udp::endpoint ToUdp(const endpoint& e) {
  return {asio::ip::address_v4(e.address), e.port};
}

}  // namespace

class peer_exchange::core : public std::enable_shared_from_this<core> {
 public:
  core(asio::io_context& io, const endpoint& listen, const view_member& self,
       std::vector<endpoint> seeds, forwarding_state& state,
       exchange_handlers handlers)
      : seeds_(std::move(seeds)),
        io_(io),
        state_(state),
        handlers_(std::move(handlers)),
        socket_(io, ToUdp(listen)),
        report_timer_(io),
        fetch_timer_(io),
        server_(io, listen, MakeServerHandlers(), counters_) {
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
    EndFetch();
  }

  void SendReports(size_t count) {
    const time_point now = clock::now();
    view_report report = MakeReport(now);
    report.outcomes = ExtractOutcomes(state_);
    for (const endpoint& to :
         SelectReportTargets(members_, count, ++round_, now))
      Send(report, to);
  }

  peer_members members_;
  std::vector<endpoint> seeds_;
  time_point table_confirmed_at_{};

 private:
  link_handlers MakeServerHandlers() {
    link_handlers handlers;
    handlers.on_message = [this](peer_link& link, const peer_message& message) {
      const auto* request = std::get_if<snapshot_request>(&message);
      if (request == nullptr || !IsReady(state_)) return link.Close();
      link.Send(MakeSnapshot(state_, *request, clock::now()));
    };
    return handlers;
  }

  view_report MakeReport(time_point now) const {
    view_report report;
    report.self = members_.self;
    report.watches_table = handlers_.watches_table();
    report.table_version = state_.table.version;
    report.revision = state_.directory.revision;
    report.digest = state_.digest;
    report.age_ms = static_cast<uint32_t>(
        std::max<int64_t>(0, ToMs(now - state_.directory.read_at)));
    report.outage_age_ms = OutageAgeMs(state_.directory, now);
    return report;
  }

  void Send(const view_report& report, const endpoint& to) {
    failure why;
    const auto frame = EncodeFrame(report, why);
    if (!frame || frame->size() > kDatagramBytes) return;
    error_code ignored;  // Later reports replace a lost one.
    socket_.send_to(asio::buffer(*frame), ToUdp(to), 0, ignored);
  }

  void RunPeriodicTasks() {
    if (is_stopped_) return;
    const time_point now = clock::now();
    ExpireMembers(members_, now);
    SendReports(kTargetsPerReport);
    DiscoverMembers(now);
    report_timer_.expires_after(kReportInterval);
    report_timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->RunPeriodicTasks();
    });
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
    const auto* report =
        message ? std::get_if<view_report>(&*message) : nullptr;
    // The steps are independent of each other, and later reports repeat them.
    if (report != nullptr)
      RunGuarded("report", [&] { HandleReport(*report, clock::now()); });
    return true;
  }

  void HandleReport(const view_report& report, time_point now) {
    if (report.self.peer == members_.self.peer) return;
    RecordMember(members_, report.self, now);
    const size_t listed = std::min(report.members.size(), kMaxMembersPerReply);
    for (const view_member& m : std::span(report.members).first(listed))
      if (!members_.known.contains(m.peer)) ContactMember(m, now);
    if (report.wants_reply) SendReply(report.self, now);
    ApplyOutcomes(state_, report.outcomes, now);
    const report_effect effect = ApplyReport(state_, report, now);
    if (effect == report_effect::kFetchSnapshot)
      return FetchSnapshot(report.self.peer);
    const bool confirms_table =
        report.watches_table && report.table_version <= state_.table.version;
    if (confirms_table) table_confirmed_at_ = now;
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

  void FetchSnapshot(const endpoint& peer) {
    if (fetch_socket_ != nullptr || is_stopped_) return;
    fetch_socket_ = std::make_shared<asio::ip::tcp::socket>(io_);
    fetch_timer_.expires_after(kFetchTimeout);
    fetch_timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->EndFetch();
    });
    fetch_socket_->async_connect(
        {asio::ip::address_v4(peer.address), peer.port},
        [self = shared_from_this(), socket = fetch_socket_,
         peer](error_code error) {
          if (socket != self->fetch_socket_) return;
          if (error) return self->EndFetch();
          self->RequestSnapshot(peer);
        });
  }

  void RequestSnapshot(const endpoint& peer) {
    link_handlers handlers;
    handlers.on_message = [weak = weak_from_this(), peer](
                              peer_link&, const peer_message& message) {
      const auto self = weak.lock();
      const auto* snapshot = std::get_if<view_snapshot>(&message);
      if (self != nullptr && snapshot != nullptr)
        self->HandleSnapshot(*snapshot, peer);
    };
    handlers.on_close = [weak = weak_from_this()](peer_link&, const failure&) {
      if (const auto self = weak.lock()) self->EndFetch();
    };
    fetch_link_ = std::make_shared<peer_link>(std::move(*fetch_socket_),
                                              std::move(handlers), counters_);
    fetch_link_->Start();
    fetch_link_->Send(MakeSnapshotRequest(state_));
  }

  void HandleSnapshot(const view_snapshot& snapshot, const endpoint& peer) {
    // The table and the list are each applied whole or repeated by the next
    // snapshot.
    RunGuarded("snapshot", [&] {
      handlers_.on_snapshot(peer,
                            ApplySnapshot(state_, snapshot, clock::now()));
    });
    EndFetch();
  }

  void EndFetch() {
    fetch_timer_.cancel();
    if (fetch_link_ != nullptr) fetch_link_->Close();
    fetch_link_ = nullptr;
    error_code ignored;
    if (fetch_socket_ != nullptr) fetch_socket_->close(ignored);
    fetch_socket_ = nullptr;
  }

  asio::io_context& io_;
  forwarding_state& state_;
  exchange_handlers handlers_;
  std::shared_ptr<peer_counters> counters_ = std::make_shared<peer_counters>();
  udp::socket socket_;
  asio::steady_timer report_timer_;
  asio::steady_timer fetch_timer_;
  peer_server server_;
  std::array<uint8_t, kDatagramBytes> receive_buffer_{};
  /// Null if no fetch is active.
  std::shared_ptr<asio::ip::tcp::socket> fetch_socket_;
  std::shared_ptr<peer_link> fetch_link_;  ///< Connection of the active fetch.
  time_point last_discovery_at_{};
  uint64_t discovery_count_ = 0;  ///< Rounds of discovery requests so far.
  uint64_t round_ = 0;
  bool is_stopped_ = false;
};

peer_exchange::peer_exchange(asio::io_context& io, const endpoint& listen,
                             const view_member& self,
                             const std::vector<endpoint>& seeds,
                             forwarding_state& state,
                             exchange_handlers handlers)
    : core_(std::make_shared<core>(io, listen, self, seeds, state,
                                   std::move(handlers))) {}

peer_exchange::~peer_exchange() { core_->Stop(); }

void peer_exchange::Start() { core_->Start(); }

void peer_exchange::SetSeeds(const std::vector<endpoint>& seeds) {
  core_->seeds_ = seeds;
}

void peer_exchange::ReportNow() { core_->SendReports(kMaxUrgentTargets); }

bool peer_exchange::IsRegistryReader(time_point now) const {
  return radishyard::IsRegistryReader(core_->members_, now);
}

time_point peer_exchange::table_confirmed_at() const {
  return core_->table_confirmed_at_;
}

}  // namespace radishyard
