// One request at a time on a flow, each in one packet, and so is its response.
#include "server.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

using udp = asio::ip::udp;

constexpr size_t kIdBytes = 8;
constexpr size_t kResponseBytes = 1000;
constexpr millis kFirstRepetition{200};
constexpr millis kLongestRepetition{1600};
constexpr int kMaxRepetitions = 8;
uint16_t caller_port = 0;

uint64_t LoadId(std::string_view bytes) {
  uint64_t id = 0;
  for (size_t i = 0; i < kIdBytes; ++i)
    id = id << 8 | static_cast<uint8_t>(bytes[i]);
  return id;
}

std::string MakeResponse(const std::string& id) {
  const std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: " + id +
                           "\r\nRequest-Id: " + id + "\r\nContent-Length: ";
  return head + std::to_string(kResponseBytes) + "\r\n\r\n" +
         std::string(kResponseBytes, 'x');
}

}  // namespace

void SetCallerPort(uint16_t port) { caller_port = port; }
uint16_t CallerPort() { return caller_port; }

std::string RequestId(const std::string& text) {
  const std::string key = "Request-Id: ";
  const size_t begin = text.find(key);
  if (begin == std::string::npos) return "";
  const size_t end = text.find('\r', begin);
  return text.substr(begin + key.size(), end - begin - key.size());
}

server::server(asio::io_context& io, record& log, const address& at,
               uint64_t id, std::string service, millis work)
    : io_(io),
      log_(log),
      at_(at),
      id_(id),
      service_(std::move(service)),
      work_(work),
      socket_(io, udp::endpoint(asio::ip::address_v4(at.ip), at.port)),
      random_(static_cast<uint32_t>(id)) {
  Receive();
}

std::string server::name() const {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 36; shift >= 0; shift -= 4)
    text += kDigits[id_ >> shift & 15];
  return "i-" + text;
}

bool server::HasOpenFlow(const address& caller, const address& route) const {
  const auto found = flows_.find({caller, route});
  return found != flows_.end() && found->second.is_open;
}

void server::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_, [this](error_code error, size_t size) {
        if (error) return;
        if (size > kIdBytes)
          Handle({buffer_.data(), size},
                 {from_.address().to_v4().to_uint(), from_.port()});
        Receive();
      });
}

void server::Handle(std::string_view bytes, const address& balancer) {
  const uint64_t meant = LoadId(bytes);
  if (meant != 0 && meant != id_) return;
  const auto p = Decode(bytes.substr(kIdBytes));
  if (!p || p->sum != ComputeSum(*p))
    return log_.Break("UNASKED: forged packet at " + ToText(at_));
  if (is_lost && is_lost(*p)) return;
  const flow_key key{p->from, p->to};
  auto found = flows_.find(key);
  if ((p->flags & kSyn) != 0) {
    if (on_opening) on_opening(*this, *p, balancer);
    if (found == flows_.end()) {
      flow f;
      f.first_sequence = static_cast<uint32_t>(random_());
      f.next_sequence = f.first_sequence + 1;
      f.expected = p->sequence + 1;
      f.timer = std::make_shared<asio::steady_timer>(io_);
      found = flows_.emplace(key, std::move(f)).first;
    }
    found->second.echo = p->echo;
    return Send(key, found->second, kSyn | kAck, found->second.first_sequence,
                "");
  }
  if (found == flows_.end()) {
    if ((p->flags & (kRst | kFin)) == 0 && !p->data.empty()) SendReset(*p);
    return;
  }
  flow& f = found->second;
  f.echo = p->echo;
  f.is_open = true;
  const bool is_all_acknowledged =
      !f.unacknowledged.empty() && p->acknowledged == f.next_sequence;
  if (is_all_acknowledged) {
    f.unacknowledged.clear();
    f.timer->cancel();
  }
  if (!p->data.empty()) HandleData(key, f, *p);
  if ((p->flags & (kRst | kFin)) != 0) {
    f.timer->cancel();
    if ((p->flags & kFin) != 0) Send(key, f, kFin | kAck, f.next_sequence, "");
    flows_.erase(key);
  }
}

void server::HandleData(const flow_key& key, flow& f, const packet& p) {
  ++f.data_packets;
  const bool is_new = p.sequence == f.expected;
  if (is_new) {
    f.expected += static_cast<uint32_t>(p.data.size());
    RunRequest(key, RequestId(p.data));
  }
  // Every second packet is acknowledged, and each repeated one.
  if (!is_new || f.data_packets % 2 == 0)
    Send(key, f, kAck, f.next_sequence, "");
}

void server::RunRequest(const flow_key& key, const std::string& id) {
  ++requests_run_;
  log_.Write("run " + id + " at " + ToText(at_));
  if (on_run) on_run(*this, key.second, id);
  const auto timer = std::make_shared<asio::steady_timer>(io_, work_);
  timer->async_wait([this, timer, key, id](error_code error) {
    const auto found = flows_.find(key);
    if (error || found == flows_.end()) return;
    flow& f = found->second;
    f.unacknowledged = MakeResponse(id);
    f.unacknowledged_at = f.next_sequence;
    f.next_sequence += static_cast<uint32_t>(f.unacknowledged.size());
    f.repetitions = 0;
    SendResponse(key);
  });
}

void server::SendResponse(const flow_key& key) {
  const auto found = flows_.find(key);
  if (found == flows_.end() || found->second.unacknowledged.empty()) return;
  flow& f = found->second;
  Send(key, f, kAck, f.unacknowledged_at, f.unacknowledged);
  if (f.repetitions == kMaxRepetitions) return;
  f.timer->expires_after(
      std::min(kFirstRepetition * (1 << f.repetitions), kLongestRepetition));
  ++f.repetitions;
  f.timer->async_wait([this, key](error_code error) {
    if (!error) SendResponse(key);
  });
}

void server::Send(const flow_key& key, const flow& f, uint8_t flags,
                  uint32_t sequence, const std::string& data) {
  SendTo({.echo = f.echo,
          .flags = flags,
          .from = key.second,
          .to = key.first,
          .sequence = sequence,
          .acknowledged = f.expected,
          .data = data});
}

void server::SendReset(const packet& p) {
  SendTo({.echo = p.echo,
          .flags = kRst,
          .from = p.to,
          .to = p.from,
          .sequence = p.acknowledged,
          .acknowledged = p.sequence});
}

void server::SendTo(const packet& p) {
  error_code ignored;
  socket_.send_to(asio::buffer(Encode(p)),
                  udp::endpoint(asio::ip::address_v4(p.to.ip), CallerPort()), 0,
                  ignored);
}

}  // namespace review
