// Implements the socket loop of a traffic thread.
#include "traffic/traffic_thread.h"

#include <array>

#include "lease/lease_times.h"

namespace radishyard {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
constexpr int kSocketBufferBytes = 8 << 20;
// Datagrams that are received before timers and posted tasks run.
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

// Detects that the process was paused for longer than the packet lifetime. The
// datagrams in its socket are discarded then, since another balancer may have
// placed their requests meanwhile.
void traffic_thread::DetectPause() {
  const time_point now = std::chrono::steady_clock::now();
  const bool was_paused = now - last_active_at_ > kMaxPacketLifetime;
  last_active_at_ = now;
  if (!was_paused) return;
  DiscardReceivedDatagrams();
  core_.owner().ResumeAfterPause(now);
}

void traffic_thread::DiscardReceivedDatagrams() {
  constexpr int kMaxDiscardedDatagrams = 1 << 20;
  error_code error;
  for (int i = 0; i < kMaxDiscardedDatagrams && !error; ++i) {
    asio::ip::udp::endpoint from;
    socket_.receive_from(asio::buffer(buffer_), from, 0, error);
  }
}

void traffic_thread::ReceiveBatch() {
  DetectPause();
  for (int i = 0; i < kMaxBatchSize; ++i) {
    asio::ip::udp::endpoint from;
    error_code error;
    const size_t bytes =
        socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block) return;
    if (error || !from.address().is_v4())
      continue;  // The error of an earlier send, such as ECONNREFUSED.
    const endpoint sender{from.address().to_v4().to_uint(), from.port()};
    core_.Receive(std::span(buffer_).first(bytes), sender,
                  std::chrono::steady_clock::now());
  }
}

void traffic_thread::WaitForTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](error_code error) {
    if (error) return;
    DetectPause();
    const time_point now = std::chrono::steady_clock::now();
    core_.Tick(now);
    if (now - last_report_at_ >= options_.report_interval) {
      last_report_at_ = now;
      traffic_report report{core_.counters(),
                            core_.owner().PoolLoads(now),
                            core_.owner().PoolsToHandOver(),
                            core_.owner().OpenFlows(),
                            core_.owner().times(),
                            now};
      report.counters.send_failed = send_failed_;
      on_report_(report);
    }
    WaitForTick();
  });
}

void traffic_thread::Send(const endpoint& to, const geneve_frame& frame) {
  std::array<uint8_t, kMaxGeneveHeaderBytes> envelope{};
  const size_t bytes = EncodeGeneveHeader(frame, envelope);
  const std::array<asio::const_buffer, 2> parts{
      asio::buffer(envelope.data(), bytes),
      asio::buffer(frame.inner.data(), frame.inner.size())};
  error_code error;
  socket_.send_to(parts, ToAsio(to), 0, error);
  if (error) ++send_failed_;
}

void traffic_thread::SendToFabric(byte_span ip, uint64_t flow_hash) {
  if (view_->fabric.empty()) return;
  Send(view_->fabric[flow_hash % view_->fabric.size()], {0, std::nullopt, ip});
}

void traffic_thread::SendToBalancer(const endpoint& to,
                                    const forward_option& option,
                                    byte_span ip) {
  Send(to, {0, option, ip});
}

}  // namespace radishyard
