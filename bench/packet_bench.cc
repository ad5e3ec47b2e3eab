// Cost of a packet at the owner and at the ingress, beside the least that any
// balancer must do: one hash look-up and one header rewrite.
#include <absl/container/flat_hash_map.h>
#include <benchmark/benchmark.h>

#include <cstdio>
#include <map>
#include <vector>

#include "support/packet_path_fixture.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint32_t kStride = 7919;  // A prime: flows take turns out of order.
constexpr uint32_t kMemoryFlows = 300'000;

uint32_t Next(uint32_t at, uint32_t flows) { return (at + kStride) % flows; }

uint32_t FlowsOf(const benchmark::State& state) {
  return static_cast<uint32_t>(state.range(0));
}

// Baseline: the flow's upstream from a hash map, and its address written into
// the packet. The packet is copied first, as in the measurements.
void Baseline(benchmark::State& state) {
  absl::flat_hash_map<flow_key, uint32_t> flows;
  for (uint32_t i = 0; i < FlowsOf(state); ++i)
    flows[packet_rig::KeyOf(i)] = 0x0a1e0101 + i % 8;
  const uint8_t payload[16] = {};
  const byte_buffer packet = BuildPacket({.source = packet_rig::KeyOf(0).caller,
                                          .destination = packet_rig::kService,
                                          .proto = protocol::kTcp,
                                          .flags = kAck,
                                          .payload = payload});
  byte_buffer scratch;
  uint32_t at = 0;
  for (auto _ : state) {
    at = Next(at, FlowsOf(state));
    scratch.assign(packet.begin(), packet.end());
    const auto found = flows.find(packet_rig::KeyOf(at));
    RewriteDestination(scratch, {found->second, 7000});
    benchmark::DoNotOptimize(scratch.data());
  }
}

void OwnerFromCaller(benchmark::State& state) {
  packet_rig rig(true);
  rig.OpenFlows(FlowsOf(state), AtMs(1));
  uint32_t at = 0;
  for (auto _ : state) {
    at = Next(at, FlowsOf(state));
    rig.FromCaller(at, kAck, AtMs(2000));
  }
  if (rig.core.owner().OpenFlows() != FlowsOf(state))
    state.SkipWithError("flows are missing");
}

void OwnerFromUpstream(benchmark::State& state) {
  packet_rig rig(true);
  rig.OpenFlows(FlowsOf(state), AtMs(1));
  std::vector<uint32_t> upstreams;
  for (uint32_t i = 0; i < FlowsOf(state); ++i)
    upstreams.push_back(rig.UpstreamOf(i));
  uint32_t at = 0;
  for (auto _ : state) {
    at = Next(at, FlowsOf(state));
    rig.FromUpstream(at, upstreams[at], kAck, AtMs(2000));
  }
}

void OwnerOpening(benchmark::State& state) {
  packet_rig rig(true);
  uint32_t at = 0;
  for (auto _ : state) rig.FromCaller(at++, kSyn, AtMs(1));
  if (rig.core.counters().placed != at) state.SkipWithError("not all placed");
}

// The ingress does not know the flow: the pool is chosen by rendezvous.
void IngressByRendezvous(benchmark::State& state) {
  packet_rig rig(false);
  uint32_t at = 0;
  for (auto _ : state) {
    at = Next(at, FlowsOf(state));
    rig.FromCaller(at, kAck, AtMs(2000));
  }
  if (rig.sink.to_balancer == 0) state.SkipWithError("nothing was forwarded");
}

// The ingress saw return traffic of the flow: the pool is its upstream's.
void IngressByWitness(benchmark::State& state) {
  packet_rig rig(false);
  for (uint32_t i = 0; i < FlowsOf(state); ++i)
    rig.FromUpstream(i, 0x0a1e0101 + i % 8, kAck, AtMs(1));
  uint32_t at = 0;
  for (auto _ : state) {
    at = Next(at, FlowsOf(state));
    rig.FromCaller(at, kAck, AtMs(2000));
  }
}

BENCHMARK(Baseline)->Arg(10'000)->Arg(300'000);
BENCHMARK(OwnerFromCaller)->Arg(10'000)->Arg(300'000);
BENCHMARK(OwnerFromUpstream)->Arg(10'000)->Arg(300'000);
BENCHMARK(OwnerOpening)->Iterations(kMemoryFlows);
BENCHMARK(IngressByRendezvous)->Arg(10'000)->Arg(300'000);
BENCHMARK(IngressByWitness)->Arg(10'000)->Arg(300'000);

// Prints the usual table, and keeps the times for the ratios.
class ratio_reporter : public benchmark::ConsoleReporter {
 public:
  void ReportRuns(const std::vector<Run>& runs) override {
    ConsoleReporter::ReportRuns(runs);
    for (const Run& run : runs) {
      if (!run.error_occurred)
        nanoseconds_[run.benchmark_name()] = run.GetAdjustedCPUTime();
    }
  }

  void PrintRatios() const {
    for (const auto& [name, spent] : nanoseconds_) {
      const size_t slash = name.find('/');
      const std::string size = name.substr(slash);
      const auto base = nanoseconds_.find("Baseline" + size);
      if (base == nanoseconds_.end() || name.starts_with("Baseline")) continue;
      std::printf("%-28s %.2f of the baseline\n", name.c_str(),
                  spent / base->second);
    }
  }

 private:
  std::map<std::string, double> nanoseconds_;
};

void PrintBytesPerFlow() {
  packet_rig rig(true);
  const size_t before = HeldBytes();
  rig.OpenFlows(kMemoryFlows, AtMs(1));
  const size_t held = HeldBytes() - before;
  std::printf("bytes held per open flow at %zu flows: %.1f\n",
              rig.core.owner().OpenFlows(),
              static_cast<double>(held) / kMemoryFlows);
}

}  // namespace
}  // namespace radishyard

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  radishyard::ratio_reporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  reporter.PrintRatios();
  radishyard::PrintBytesPerFlow();
  return 0;
}
