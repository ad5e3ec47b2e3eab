// Grouped and delta-coded flows. Integers are LEB128 (7 bits a byte, low bits
// first).
#include "flow/flow_batch.h"

#include <algorithm>
#include <tuple>

namespace radishyard {
namespace {

constexpr uint64_t kMostEntries = 1 << 20;
constexpr int kPortBits = 16;

class writer {
 public:
  void Number(uint64_t value) {
    for (; value >= 0x80; value >>= 7)
      bytes_.push_back(static_cast<uint8_t>(value | 0x80));
    bytes_.push_back(static_cast<uint8_t>(value));
  }
  std::vector<uint8_t> Take() { return std::move(bytes_); }

 private:
  std::vector<uint8_t> bytes_;
};

class reader {
 public:
  explicit reader(std::span<const uint8_t> bytes) : rest_(bytes) {}
  uint64_t Number() {
    uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (rest_.empty()) break;
      const uint8_t byte = rest_.front();
      rest_ = rest_.subspan(1);
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
    failed_ = true;
    return 0;
  }
  bool failed() const { return failed_; }
  bool AtEnd() const { return rest_.empty(); }

 private:
  std::span<const uint8_t> rest_;
  bool failed_ = false;
};

uint64_t CallerNumber(const flow_entry& e) {
  return static_cast<uint64_t>(e.key.caller.address) << kPortBits |
         e.key.caller.port;
}

// What the flows of a group share.
auto GroupOf(const flow_entry& e) {
  return std::tuple(e.key.proto, e.key.service, e.upstream, e.kind, e.priority,
                    e.flags);
}

void WriteGroup(std::span<const flow_entry> group, writer& out) {
  const flow_entry& first = group.front();
  out.Number(group.size());
  out.Number(static_cast<uint64_t>(first.key.proto));
  out.Number(first.key.service.address);
  out.Number(first.key.service.port);
  out.Number(first.upstream);
  out.Number(static_cast<uint64_t>(first.kind));
  out.Number(static_cast<uint64_t>(first.priority));
  out.Number(first.flags);
  uint64_t before = 0;
  for (const flow_entry& e : group) {
    out.Number(CallerNumber(e) - before);
    before = CallerNumber(e);
  }
}

bool ReadGroup(reader& in, std::vector<flow_entry>& flows) {
  const uint64_t count = in.Number();
  flow_entry e;
  const uint64_t number = in.Number();
  if (number != static_cast<uint64_t>(protocol::kTcp) &&
      number != static_cast<uint64_t>(protocol::kUdp))
    return false;
  e.key.proto = static_cast<protocol>(number);
  e.key.service.address = static_cast<uint32_t>(in.Number());
  e.key.service.port = static_cast<uint16_t>(in.Number());
  e.upstream = static_cast<uint32_t>(in.Number());
  const uint64_t kind = in.Number();
  const uint64_t priority = in.Number();
  e.flags = static_cast<uint8_t>(in.Number());
  if (kind > static_cast<uint64_t>(port_kind::kRequest)) return false;
  if (priority > static_cast<uint64_t>(priority_class::kBulk)) return false;
  if (in.failed() || count > kMostEntries ||
      flows.size() + count > kMostEntries)
    return false;
  e.kind = static_cast<port_kind>(kind);
  e.priority = static_cast<priority_class>(priority);
  uint64_t caller = 0;
  for (uint64_t i = 0; i < count && !in.failed(); ++i) {
    caller += in.Number();
    e.key.caller = {static_cast<uint32_t>(caller >> kPortBits),
                    static_cast<uint16_t>(caller)};
    flows.push_back(e);
  }
  return !in.failed();
}

}  // namespace

std::vector<uint8_t> EncodeFlows(flow_batch batch) {
  std::ranges::sort(batch.flows, [](const flow_entry& a, const flow_entry& b) {
    return std::tuple(GroupOf(a), CallerNumber(a)) <
           std::tuple(GroupOf(b), CallerNumber(b));
  });
  writer out;
  const std::span<const flow_entry> all(batch.flows);
  std::vector<std::span<const flow_entry>> groups;
  for (size_t begin = 0; begin < all.size();) {
    size_t end = begin + 1;
    while (end < all.size() && GroupOf(all[end]) == GroupOf(all[begin])) ++end;
    groups.push_back(all.subspan(begin, end - begin));
    begin = end;
  }
  out.Number(groups.size());
  for (const auto& group : groups) WriteGroup(group, out);
  std::ranges::sort(batch.digests);
  out.Number(batch.digests.size());
  uint64_t before = 0;
  for (const uint64_t digest : batch.digests) {
    out.Number(digest - before);
    before = digest;
  }
  return out.Take();
}

std::optional<flow_batch> DecodeFlows(std::span<const uint8_t> bytes,
                                      failure& why) {
  reader in(bytes);
  flow_batch batch;
  const uint64_t groups = in.Number();
  bool sound = groups <= kMostEntries;
  for (uint64_t i = 0; i < groups && sound; ++i)
    sound = ReadGroup(in, batch.flows);
  const uint64_t digests = in.Number();
  sound = sound && digests <= kMostEntries;
  uint64_t digest = 0;
  for (uint64_t i = 0; i < digests && sound && !in.failed(); ++i)
    batch.digests.push_back(digest += in.Number());
  if (sound && !in.failed() && in.AtEnd()) return batch;
  why = {failure_kind::kInvalid, "malformed batch of flows"};
  return std::nullopt;
}

}  // namespace radishyard
