// Implements the caller's end of a flow.
#include "caller.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

using udp = asio::ip::udp;

constexpr std::array<millis, 3> kOpeningWaits{millis{200}, millis{400},
                                              millis{800}};
constexpr millis kFirstRepetition{200};
constexpr millis kLongestRepetition{1600};
constexpr millis kDeadline{1500};
constexpr uint32_t kResetWindow = 76'800;

}  // namespace

caller::caller(asio::io_context& io, record& log, uint32_t ip, address route,
               sender send, uint32_t seed)
    : io_(io),
      log_(log),
      ip_(ip),
      route_(route),
      send_(std::move(send)),
      random_(seed),
      socket_(io, udp::endpoint(asio::ip::address_v4(ip), CallerPort())) {}

void caller::StartLongFlows(int flows, millis pause) {
  pause_ = pause;
  Receive();
  for (int i = 0; i < flows; ++i)
    After(Jitter(pause), [this] { SendOpening(OpenFlow()); });
}

void caller::StartFreshFlows(millis pause) {
  pause_ = pause;
  keeps_flows_ = false;
  Receive();
  After(Jitter(pause), [this] { SendOpening(OpenFlow()); });
}

void caller::Stop() {
  is_stopped_ = true;
  error_code ignored;
  socket_.close(ignored);
  for (const auto& [port, f] : flows_) {
    f->timer.cancel();
    f->deadline.cancel();
  }
}

void caller::After(millis wait, std::function<void()> next) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, wait);
  timer->async_wait(
      [self = shared_from_this(), timer, next = std::move(next)](error_code e) {
        if (!e && !self->is_stopped_) next();
      });
}

millis caller::Jitter(millis mean) {
  std::uniform_int_distribution<int64_t> draw(mean.count() / 2,
                                              mean.count() * 3 / 2);
  return millis(draw(random_));
}

void caller::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [self = shared_from_this()](error_code error, size_t size) {
        if (error || self->is_stopped_) return;
        if (self->is_downlink_lost_) {
          ++self->counts_.lost_here;
        } else if (const auto p = Decode({self->buffer_.data(), size})) {
          self->Handle(*p);
        }
        self->Receive();
      });
}

caller::flow_ptr caller::OpenFlow() {
  auto f = std::make_shared<caller_flow>(io_);
  f->port = next_port_++;
  f->sequence = static_cast<uint32_t>(random_());
  flows_[f->port] = f;
  return f;
}

void caller::SendOpening(const flow_ptr& f) {
  if (f->is_open || f->is_ended) return;
  if (f->openings == static_cast<int>(kOpeningWaits.size())) {
    ++counts_.failed;
    EndFlow(f, false);
    return After(Jitter(pause_), [this] { SendOpening(OpenFlow()); });
  }
  packet p{.flags = kSyn,
           .from = {ip_, f->port},
           .to = route_,
           .sequence = f->sequence,
           .acknowledged = static_cast<uint32_t>(f->openings)};
  send_(p);
  f->timer.expires_after(kOpeningWaits.at(f->openings++));
  f->timer.async_wait([self = shared_from_this(), f](error_code error) {
    if (!error && !self->is_stopped_) self->SendOpening(f);
  });
}

void caller::Handle(const packet& p) {
  const auto found = flows_.find(p.to.port);
  if (found == flows_.end() || p.to.ip != ip_ || p.from != route_) return;
  const flow_ptr f = found->second;
  if ((p.flags & kRst) != 0) return HandleReset(f, p);
  if (p.sum != ComputeSum(p))
    return log_.Break("MIXED: forged packet at " + ToText(p.to));
  if ((p.flags & kSyn) != 0) {
    // A further server may have taken a copy of the opening.
    if (f->is_open || p.acknowledged != f->sequence + 1) return;
    f->is_open = true;
    f->echo = p.echo;
    f->acknowledged = p.sequence + 1;
    ++f->sequence;
    f->timer.cancel();
    Send(*f, kAck, "");
    return StartRequest(f);
  }
  f->echo = p.echo;
  const bool is_request_taken =
      !f->request.empty() &&
      p.acknowledged == f->sequence + static_cast<uint32_t>(f->request.size());
  if (is_request_taken) {
    f->sequence = p.acknowledged;
    f->request.clear();
    f->timer.cancel();
  }
  if (p.data.empty()) return;
  const bool is_new = p.sequence == f->acknowledged;
  if (is_new) f->acknowledged += static_cast<uint32_t>(p.data.size());
  Send(*f, kAck, "");
  if (is_new && f->is_waiting && RequestId(p.data) == f->request_id)
    FinishRequest(f, true);
}

void caller::HandleReset(const flow_ptr& f, const packet& p) {
  const uint32_t distance =
      std::min(p.sequence - f->acknowledged, f->acknowledged - p.sequence);
  if (f->is_open && distance > kResetWindow) return;
  const bool is_of_balancer = p.sum == 0;
  if (f->is_open && is_of_balancer) {
    ++counts_.resets;
    log_.Write("reset by a balancer of open flow " + ToText(p.to));
    if (on_reset) on_reset(*this, *f);
  }
  const bool had_request = f->is_waiting || !f->is_open;
  EndFlow(f, false);
  if (had_request) ++counts_.failed;
  After(Jitter(pause_), [this] { SendOpening(OpenFlow()); });
}

void caller::StartRequest(const flow_ptr& f) {
  if (f->is_ended || !f->request.empty()) return;
  f->request_id = ToText({ip_, f->port}) + "-" + std::to_string(next_request_);
  ++next_request_;
  f->request = "GET / HTTP/1.1\r\nRequest-Id: " + f->request_id + "\r\n\r\n";
  f->is_waiting = true;
  f->repetitions = 0;
  f->sent_at = steady::now();
  log_.Write("send " + f->request_id);
  f->deadline.expires_after(kDeadline);
  f->deadline.async_wait([self = shared_from_this(), f](error_code error) {
    if (!error && !self->is_stopped_ && f->is_waiting)
      self->FinishRequest(f, false);
  });
  SendRequest(f);
}

void caller::SendRequest(const flow_ptr& f) {
  if (f->is_ended || f->request.empty()) return;
  Send(*f, kAck, f->request);
  f->timer.expires_after(
      std::min(kFirstRepetition * (1 << f->repetitions), kLongestRepetition));
  ++f->repetitions;
  f->timer.async_wait([self = shared_from_this(), f](error_code error) {
    if (!error && !self->is_stopped_) self->SendRequest(f);
  });
}

void caller::FinishRequest(const flow_ptr& f, bool is_served) {
  f->is_waiting = false;
  f->deadline.cancel();
  ++(is_served ? counts_.served : counts_.failed);
  log_.Write((is_served ? "answered " : "gave up ") + f->request_id);
  if (is_served && keeps_flows_)
    return After(Jitter(pause_), [this, f] { StartRequest(f); });
  EndFlow(f, true);
  After(Jitter(pause_), [this] { SendOpening(OpenFlow()); });
}

void caller::EndFlow(const flow_ptr& f, bool sends_fin) {
  if (sends_fin) Send(*f, kFin | kAck, "");
  f->is_ended = true;
  f->timer.cancel();
  f->deadline.cancel();
  flows_.erase(f->port);
}

void caller::Send(const caller_flow& f, uint8_t flags,
                  const std::string& data) {
  send_({.echo = f.echo,
         .flags = flags,
         .from = {ip_, f.port},
         .to = route_,
         .sequence = f.sequence,
         .acknowledged = f.acknowledged,
         .data = data});
}

}  // namespace review
