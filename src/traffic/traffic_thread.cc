// Implements the socket loop of a traffic thread.
#include "traffic/traffic_thread.h"

#include <array>

#include "lease/lease_times.h"

namespace radishyard {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
constexpr int kSocketBufferBytes = 8 << 20;
// At most this many datagrams are received in a row, so that timers and posted
// tasks are not delayed.
constexpr int kMaxBatchSize = 64;
constexpr duration kTickInterval = 10ms;

asio::ip::udp::endpoint ToAsio(const endpoint& e) {
  return {asio::ip::address_v4(e.address), e.port};
}

}  // namespace

traffic_thread::traffic_thread(const traffic_thread_options& options,
                               report_handler on_report, hop_handler on_hop)
    : options_(options),
      on_report_(std::move(on_report)),
      on_hop_(std::move(on_hop)),
      socket_(io_, ToAsio(options.listen)),
      tick_timer_(io_),
      view_(std::make_shared<routing_view>()),
      core_(*this, options.upstream_cache_entries,
            std::chrono::steady_clock::now()),
      buffer_(kMaxDatagramBytes) {
  socket_.non_blocking(true);
  error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes),
                     ignored);
  socket_.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                     ignored);
  thread_ = std::thread([this] { Run(); });
}

traffic_thread::~traffic_thread() { Stop(); }

void traffic_thread::Stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

void traffic_thread::Run() {
  last_active_at_ = std::chrono::steady_clock::now();
  WaitForPackets();
  WaitForTick();
  io_.run();
}

void traffic_thread::PublishView(std::shared_ptr<const routing_view> view) {
  asio::post(io_, [this, view = std::move(view)] {
    view_ = view;
    core_.SetView(view, std::chrono::steady_clock::now());
  });
}

void traffic_thread::Post(std::function<void(traffic_core&, time_point)> task) {
  asio::post(io_, [this, task = std::move(task)] {
    task(core_, std::chrono::steady_clock::now());
  });
}

void traffic_thread::WaitForPackets() {
  socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](error_code error) {
                       if (error) return;
                       ReceiveBatch();
                       WaitForPackets();
                     });
}

// If the process was paused for longer than the packet lifetime, discards the
// datagrams that wait in the socket and removes queued and unanswered openings:
// another balancer may have placed the same flows and requests during the
// pause.
void traffic_thread::HandlePause() {
  const time_point now = std::chrono::steady_clock::now();
  const bool was_paused = now - last_active_at_ > kMaxPacketLifetime;
  last_active_at_ = now;
  if (!was_paused) return;
  DiscardReceivedDatagrams();
  core_.owner().ResumeAfterPause(now);
}

// Stops when the socket is empty, or at the error of an earlier send.
void traffic_thread::DiscardReceivedDatagrams() {
  // Bounds the loop while datagrams arrive faster than they are discarded.
  constexpr int kMaxDiscardedDatagrams = 1 << 20;
  error_code error;
  for (int i = 0; i < kMaxDiscardedDatagrams && !error; ++i) {
    asio::ip::udp::endpoint from;
    socket_.receive_from(asio::buffer(buffer_), from, 0, error);
  }
}

void traffic_thread::ReceiveBatch() {
  HandlePause();
  for (int i = 0; i < kMaxBatchSize; ++i) {
    asio::ip::udp::endpoint from;
    error_code error;
    const size_t bytes =
        socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block) return;
    // Skips errors of earlier sends, such as ECONNREFUSED, and senders without
    // an IPv4 address.
    if (error || !from.address().is_v4()) continue;
    const endpoint sender{from.address().to_v4().to_uint(), from.port()};
    core_.Receive(std::span(buffer_).first(bytes), sender,
                  std::chrono::steady_clock::now());
  }
}

void traffic_thread::WaitForTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](error_code error) {
    if (error) return;
    HandlePause();
    const time_point now = std::chrono::steady_clock::now();
    core_.Tick(now);
    if (now - last_report_at_ >= options_.report_interval) {
      last_report_at_ = now;
      traffic_report report{core_.counters(),
                            core_.owner().PoolLoads(now),
                            core_.owner().PoolsToHandOver(),
                            core_.owner().OpenFlows(),
                            core_.owner().histograms(),
                            now};
      report.counters.send_failed = send_failed_;
      on_report_(report);
    }
    WaitForTick();
  });
}

void traffic_thread::Send(const endpoint& to, const geneve_frame& frame) {
  std::array<uint8_t, kMaxGeneveHeaderBytes> header{};
  const size_t bytes = EncodeGeneveHeader(frame, header);
  const std::array<asio::const_buffer, 2> parts{
      asio::buffer(header.data(), bytes),
      asio::buffer(frame.inner.data(), frame.inner.size())};
  error_code error;
  socket_.send_to(parts, ToAsio(to), 0, error);
  if (error) ++send_failed_;
}

void traffic_thread::SendToFabric(byte_span ip_packet, uint64_t flow_hash) {
  if (view_->fabric.empty()) return;
  Send(view_->fabric[flow_hash % view_->fabric.size()],
       {/*vni=*/0, std::nullopt, ip_packet});
}

void traffic_thread::SendToBalancer(const endpoint& to,
                                    const forward_option& option,
                                    byte_span ip_packet) {
  Send(to, {/*vni=*/0, option, ip_packet});
}

}  // namespace radishyard
