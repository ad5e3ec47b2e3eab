// The fabric: sprays every packet of callers and upstreams over the balancers,
// and delivers what balancers send by its inner destination. It can duplicate,
// reorder, delay, drop and cut.
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "packet/geneve.h"
#include "support/stand_in.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr size_t kMaxHeld = 100'000;  // Datagrams that wait for their time.
constexpr uint32_t kSiteMask = 0xffff0000;
constexpr uint32_t kCallers = 0x0a010000;  // 10.1.0.0/16

struct fault_rates {
  double duplicate = 0;
  double reorder = 0;
  double drop = 0;
  milliseconds reorder_by{5};
  milliseconds delay{0};
};

// The addresses that one cut separates from its balancers.
struct address_prefix {
  uint32_t bits = 0;
  uint32_t mask = 0;
  bool Contains(uint32_t address) const { return (address & mask) == bits; }
};

// "10.30.1." stands for 10.30.1.0/24.
address_prefix ParsePrefix(std::string text) {
  address_prefix prefix;
  int octets = 0;
  if (!text.empty() && text.back() != '.') text += '.';
  for (size_t at = 0; at < text.size(); at = text.find('.', at) + 1, ++octets)
    prefix.bits |= std::stoul(text.substr(at)) << (24 - 8 * octets);
  prefix.mask = octets == 0 ? 0 : ~0U << (32 - 8 * octets);
  return prefix;
}

struct link_cut {
  std::vector<endpoint> balancers;
  std::vector<address_prefix> addresses;
};

struct fabric_counts {
  uint64_t sprayed = 0;
  uint64_t delivered = 0;
  uint64_t duplicated = 0;
  uint64_t reordered = 0;
  uint64_t dropped = 0;  ///< By the drop rate.
  uint64_t cut = 0;      ///< By a cut, or because no balancer is reachable.
  uint64_t malformed = 0;
};

// The addresses that a decision needs, read from the inner IPv4 header.
struct inner_header {
  uint32_t source = 0;
  uint32_t destination = 0;
  bool is_udp = false;
};

uint32_t AddressAt(byte_span ip, size_t at) {
  return static_cast<uint32_t>(ip[at]) << 24 | ip[at + 1] << 16 |
         ip[at + 2] << 8 | ip[at + 3];
}

class fabric {
 public:
  fabric(stand_in& frame, uint32_t seed) : frame_(frame), random_(seed) {}

  void AddCommands() {
    frame_.AddCommand("edges", [this](const json& c) {
      callers_ = ParseEndpoint(c.at("callers"));
      upstreams_ = ParseEndpoint(c.at("upstreams"));
      return json{{"ok", true}};
    });
    frame_.AddCommand("balancers", [this](const json& c) {
      balancers_ = ParseList(c.at("list"));
      return json{{"ok", true}};
    });
    frame_.AddCommand("faults", [this](const json& c) { return SetFaults(c); });
    frame_.AddCommand("cut", [this](const json& c) { return Cut(c); });
    frame_.AddCommand("heal", [this](const json&) {
      cuts_.clear();
      return json{{"ok", true}};
    });
    frame_.AddCommand("stats", [this](const json&) { return Stats(); });
  }

  void Receive(byte_span datagram, const endpoint& from) {
    failure why;
    const auto frame = DecodeGeneve(datagram, why);
    if (!frame || frame->inner.size() < 20) {
      ++counts_.malformed;
      return;
    }
    const inner_header inner = {AddressAt(frame->inner, 12),
                                AddressAt(frame->inner, 16),
                                frame->inner[9] == 17};
    if (from == callers_ || from == upstreams_) {
      Spray(datagram, inner);
    } else {
      Deliver(datagram, inner, from);
    }
  }

 private:
  static std::vector<endpoint> ParseList(const json& list) {
    std::vector<endpoint> parsed;
    for (const std::string text : list) parsed.push_back(ParseEndpoint(text));
    return parsed;
  }

  json SetFaults(const json& c) {
    faults_.duplicate = c.value("duplicate", 0.0);
    faults_.reorder = c.value("reorder", 0.0);
    faults_.drop = c.value("drop", 0.0);
    faults_.reorder_by = milliseconds(c.value("reorder_ms", 5));
    faults_.delay = milliseconds(c.value("delay_ms", 0));
    return {{"ok", true}};
  }

  json Cut(const json& c) {
    link_cut cut{ParseList(c.at("balancers")), {}};
    for (const std::string text : c.at("upstreams"))
      cut.addresses.push_back(ParsePrefix(text));
    cuts_.push_back(cut);
    return {{"ok", true}};
  }

  json Stats() const {
    return {
        {"sprayed", counts_.sprayed},       {"delivered", counts_.delivered},
        {"duplicated", counts_.duplicated}, {"reordered", counts_.reordered},
        {"dropped", counts_.dropped},       {"cut", counts_.cut},
        {"malformed", counts_.malformed},   {"held", held_},
        {"unsent", frame_.data().unsent()}};
  }

  bool IsCut(const endpoint& balancer, uint32_t address) const {
    for (const link_cut& cut : cuts_) {
      if (std::ranges::find(cut.balancers, balancer) == cut.balancers.end())
        continue;
      for (const address_prefix& prefix : cut.addresses)
        if (prefix.Contains(address)) return true;
    }
    return false;
  }

  // A router forwards only to next hops that it reaches, so the choice falls
  // among the balancers that no cut separates from the sender.
  std::optional<endpoint> PickBalancer(uint32_t source) {
    if (balancers_.empty()) return std::nullopt;
    if (cuts_.empty()) return balancers_[random_() % balancers_.size()];
    std::vector<endpoint> reachable;
    for (const endpoint& balancer : balancers_)
      if (!IsCut(balancer, source)) reachable.push_back(balancer);
    if (reachable.empty()) return std::nullopt;
    return reachable[random_() % reachable.size()];
  }

  void Spray(byte_span datagram, const inner_header& inner) {
    const int copies = Chance(faults_.duplicate) ? 2 : 1;
    counts_.duplicated += copies - 1;
    for (int i = 0; i < copies; ++i) {
      const auto to = PickBalancer(inner.source);
      if (!to) {
        ++counts_.cut;
        return;
      }
      ++counts_.sprayed;
      Forward(datagram, *to);
    }
  }

  void Deliver(byte_span datagram, const inner_header& inner,
               const endpoint& from) {
    const bool to_caller = (inner.destination & kSiteMask) == kCallers;
    if (IsCut(from, inner.destination)) {
      ++counts_.cut;
      return;
    }
    // No balancer can undo a copy made behind it, so a UDP request is not
    // duplicated on its way to the upstream.
    const bool may_copy = to_caller || !inner.is_udp;
    const int copies = may_copy && Chance(faults_.duplicate) ? 2 : 1;
    counts_.duplicated += copies - 1;
    counts_.delivered += copies;
    for (int i = 0; i < copies; ++i)
      Forward(datagram, to_caller ? callers_ : upstreams_);
  }

  void Forward(byte_span datagram, const endpoint& to) {
    if (Chance(faults_.drop)) {
      ++counts_.dropped;
      return;
    }
    const bool is_late = Chance(faults_.reorder);
    counts_.reordered += is_late ? 1 : 0;
    const milliseconds wait =
        faults_.delay + (is_late ? faults_.reorder_by : milliseconds(0));
    if (wait == milliseconds(0) || held_ >= kMaxHeld) {
      frame_.data().Send(datagram, to);
      return;
    }
    ++held_;
    frame_.timers().Schedule(
        std::chrono::steady_clock::now() + wait,
        [this, to,
         bytes = byte_buffer(datagram.begin(), datagram.end())](time_point) {
          --held_;
          frame_.data().Send(bytes, to);
        });
  }

  bool Chance(double rate) {
    return rate > 0 && std::uniform_real_distribution<>(0, 1)(random_) < rate;
  }

  stand_in& frame_;
  std::mt19937 random_;
  endpoint callers_;
  endpoint upstreams_;
  std::vector<endpoint> balancers_;
  std::vector<link_cut> cuts_;
  fault_rates faults_;
  fabric_counts counts_;
  size_t held_ = 0;
};

}  // namespace
}  // namespace radishyard

int main(int argc, const char** argv) {
  using namespace radishyard;  // NOLINT(google-build-using-namespace)
  const stand_in_options options = ParseStandInOptions(argc, argv);
  stand_in frame("fabric", options);
  fabric node(frame, options.seed);
  node.AddCommands();
  frame.Run([&](byte_span datagram, const endpoint& from) {
    node.Receive(datagram, from);
  });
}
