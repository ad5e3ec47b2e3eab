// Reports over UDP, snapshots over a short TCP link, both at the same address.
#include "direct/peer_exchange.h"

#include <array>
#include <utility>

#include "observe/log.h"
#include "peer/peer_codec.h"
#include "peer/peer_server.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;
using udp = asio::ip::udp;

constexpr duration kReportInterval = 1s;
/// Members told in one interval; enough that all hear of a failure soon.
constexpr size_t kReportTargets = 16;
/// Members told at once of a newer list or table.
constexpr size_t kAllMembers = 512;
/// Pause between greetings of the seeds.
constexpr duration kGreetInterval = 10s;
constexpr duration kFirstGreetInterval = 500ms;
/// A snapshot that takes longer is given up.
constexpr duration kFetchTimeout = 500ms;
/// Members named in a reply; the receiver hears of more from those.
constexpr size_t kNamedMembers = 16;
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
        timer_(io),
        fetch_timer_(io),
        server_(io, listen, ServerHandlers(), counters_) {
    members_.self = self;
    socket_.non_blocking(true);
  }

  void Start() {
    Receive();
    Tick();
  }

  void Stop() {
    is_stopped_ = true;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    EndFetch();
  }

  void Report(size_t count) {
    const time_point now = clock::now();
    view_report report = MakeReport(now);
    report.outcomes = TakeEvents(state_);
    for (const endpoint& to : ReportTargets(members_, count, ++round_, now))
      Send(report, to);
  }

  peer_members members_;
  std::vector<endpoint> seeds_;
  time_point table_confirmed_at_{};

 private:
  link_handlers ServerHandlers() {
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
    return report;
  }

  void Send(const view_report& report, const endpoint& to) {
    failure why;
    const auto frame = EncodeFrame(report, why);
    if (!frame || frame->size() > kDatagramBytes) return;
    error_code ignored;  // Reports are repeated.
    socket_.send_to(asio::buffer(*frame), ToUdp(to), 0, ignored);
  }

  void Tick() {
    if (is_stopped_) return;
    const time_point now = clock::now();
    ForgetSilent(members_, now);
    Report(kReportTargets);
    Greet(now);
    timer_.expires_after(kReportInterval);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->Tick();
    });
  }

  /// Asks the seeds for members of the own domain: often while none are known.
  void Greet(time_point now) {
    const bool is_alone =
        LiveMembers(members_, members_.self.domain, now).empty();
    const duration pause = is_alone ? kFirstGreetInterval : kGreetInterval;
    if (greeted_ > 0 && now - greeted_at_ < pause) return;
    greeted_at_ = now;
    ++greeted_;
    view_report greeting = MakeReport(now);
    greeting.wants_reply = true;
    for (const endpoint& seed : seeds_)
      if (seed != members_.self.peer) Send(greeting, seed);
  }

  void Receive() {
    socket_.async_wait(udp::socket::wait_read,
                       [self = shared_from_this()](error_code error) {
                         if (error || self->is_stopped_) return;
                         while (self->ReceiveOne()) {
                         }
                         self->Receive();
                       });
  }

  bool ReceiveOne() {
    error_code error;
    udp::endpoint from;
    const size_t size =
        socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error) return error != asio::error::would_block;
    const frame_view frame =
        ParseFrame({reinterpret_cast<const char*>(buffer_.data()), size});
    if (frame.what != frame_view::status::kComplete) return true;
    failure why;
    const auto message = DecodePayload(frame.payload, why);
    const auto* report =
        message ? std::get_if<view_report>(&*message) : nullptr;
    if (report != nullptr) Take(*report, clock::now());
    return true;
  }

  void Take(const view_report& report, time_point now) {
    if (report.self.peer == members_.self.peer) return;
    Hear(members_, report.self, now);
    for (const view_member& m : report.members)
      if (!members_.known.contains(m.peer)) Introduce(m, now);
    if (report.wants_reply) Reply(report.self, now);
    LearnEvents(state_, report.outcomes, now);
    const report_effect effect = TakeReport(state_, report, now);
    if (effect == report_effect::kFetch) return Fetch(report.self.peer);
    const bool confirms_table =
        report.watches_table && report.table_version <= state_.table.version;
    if (confirms_table) table_confirmed_at_ = now;
  }

  /// Greets a member of the own domain that another one has named.
  void Introduce(const view_member& member, time_point now) {
    if (member.domain != members_.self.domain) return;
    if (member.peer == members_.self.peer) return;
    view_report greeting = MakeReport(now);
    greeting.wants_reply = true;
    Send(greeting, member.peer);
  }

  void Reply(const view_member& to, time_point now) {
    view_report reply = MakeReport(now);
    reply.members = LiveMembers(members_, to.domain, now);
    std::erase(reply.members, to);
    if (reply.members.size() > kNamedMembers)
      reply.members.resize(kNamedMembers);
    Send(reply, to.peer);
  }

  void Fetch(const endpoint& peer) {
    if (fetching_ != nullptr || is_stopped_) return;
    fetching_ = std::make_shared<asio::ip::tcp::socket>(io_);
    fetch_timer_.expires_after(kFetchTimeout);
    fetch_timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->EndFetch();
    });
    fetching_->async_connect({asio::ip::address_v4(peer.address), peer.port},
                             [self = shared_from_this(), socket = fetching_,
                              peer](error_code error) {
                               if (socket != self->fetching_) return;
                               if (error) return self->EndFetch();
                               self->Ask(peer);
                             });
  }

  void Ask(const endpoint& peer) {
    link_handlers handlers;
    handlers.on_message = [weak = weak_from_this(), peer](
                              peer_link&, const peer_message& message) {
      const auto self = weak.lock();
      const auto* snapshot = std::get_if<view_snapshot>(&message);
      if (self != nullptr && snapshot != nullptr) self->Take(*snapshot, peer);
    };
    handlers.on_close = [weak = weak_from_this()](peer_link&, const failure&) {
      if (const auto self = weak.lock()) self->EndFetch();
    };
    link_ = std::make_shared<peer_link>(std::move(*fetching_),
                                        std::move(handlers), counters_);
    link_->Start();
    link_->Send(MakeSnapshotRequest(state_));
  }

  void Take(const view_snapshot& snapshot, const endpoint& peer) {
    const snapshot_effect effect = TakeSnapshot(state_, snapshot, clock::now());
    EndFetch();
    handlers_.on_snapshot(peer, effect);
  }

  void EndFetch() {
    fetch_timer_.cancel();
    if (link_ != nullptr) link_->Close();
    link_ = nullptr;
    error_code ignored;
    if (fetching_ != nullptr) fetching_->close(ignored);
    fetching_ = nullptr;
  }

  asio::io_context& io_;
  forwarding_state& state_;
  exchange_handlers handlers_;
  std::shared_ptr<peer_counters> counters_ = std::make_shared<peer_counters>();
  udp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer fetch_timer_;
  peer_server server_;
  std::array<uint8_t, kDatagramBytes> buffer_{};
  std::shared_ptr<asio::ip::tcp::socket> fetching_;  ///< Null if not fetching.
  std::shared_ptr<peer_link> link_;  ///< Of the snapshot being fetched.
  time_point greeted_at_{};
  uint64_t greeted_ = 0;  ///< Greetings of the seeds so far.
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

void peer_exchange::ReportNow() { core_->Report(kAllMembers); }

bool peer_exchange::IsReader(time_point now) const {
  return radishyard::IsReader(core_->members_, now);
}

time_point peer_exchange::table_confirmed_at() const {
  return core_->table_confirmed_at_;
}

}  // namespace radishyard
