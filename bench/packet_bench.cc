// Benchmarks the cost of a packet at the pool owner and at the ingress,
// compared with a baseline that any balancer must do at least: one hash lookup
// and one header rewrite.
#include <absl/container/flat_hash_map.h>
#include <benchmark/benchmark.h>

#include <cstdio>
#include <map>
#include <vector>

#include "support/packet_path_fixture.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint32_t kFlowStride =
    7919;  // A prime, so that flows are visited out of order.
constexpr uint32_t kFlowsForMemory = 300'000;

uint32_t NextFlow(uint32_t flow, uint32_t flows) {
  return (flow + kFlowStride) % flows;
}

uint32_t FlowCount(const benchmark::State& state) {
  return static_cast<uint32_t>(state.range(0));
}

// Looks up the upstream of the flow in a hash map and writes its address into
// the packet. The packet is copied first, as in the other benchmarks.
void Baseline(benchmark::State& state) {
  absl::flat_hash_map<flow_key, uint32_t> flows;
  for (uint32_t i = 0; i < FlowCount(state); ++i)
    flows[packet_path_fixture::MakeFlowKey(i)] = 0x0a1e0101 + i % 8;
  const uint8_t payload[16] = {};
  const byte_buffer packet =
      BuildPacket({.source = packet_path_fixture::MakeFlowKey(0).caller,
                   .destination = packet_path_fixture::kService,
                   .proto = protocol::kTcp,
                   .flags = kAck,
                   .payload = payload});
  byte_buffer scratch;
  uint32_t flow = 0;
  for (auto _ : state) {
    flow = NextFlow(flow, FlowCount(state));
    scratch.assign(packet.begin(), packet.end());
    const auto found = flows.find(packet_path_fixture::MakeFlowKey(flow));
    RewriteDestination(scratch, {found->second, 7000});
    benchmark::DoNotOptimize(scratch.data());
  }
}

void OwnerFromCaller(benchmark::State& state) {
  packet_path_fixture fixture(true);
  fixture.OpenFlows(FlowCount(state), AtMs(1));
  uint32_t flow = 0;
  for (auto _ : state) {
    flow = NextFlow(flow, FlowCount(state));
    fixture.ReceiveFromCaller(flow, kAck, AtMs(2000));
  }
  if (fixture.core.owner().OpenFlows() != FlowCount(state))
    state.SkipWithError("flows are missing");
}

void OwnerFromUpstream(benchmark::State& state) {
  packet_path_fixture fixture(true);
  fixture.OpenFlows(FlowCount(state), AtMs(1));
  std::vector<uint32_t> upstreams;
  for (uint32_t i = 0; i < FlowCount(state); ++i)
    upstreams.push_back(fixture.FindUpstream(i));
  uint32_t flow = 0;
  for (auto _ : state) {
    flow = NextFlow(flow, FlowCount(state));
    fixture.ReceiveFromUpstream(flow, upstreams[flow], kAck, AtMs(2000));
  }
}

void OwnerOpening(benchmark::State& state) {
  packet_path_fixture fixture(true);
  uint32_t flow = 0;
  for (auto _ : state) fixture.ReceiveFromCaller(flow++, kSyn, AtMs(1));
  if (fixture.core.counters().placed != flow)
    state.SkipWithError("not all placed");
}

// The ingress has no entry for the flow and chooses the pool by rendezvous
// hashing.
void IngressByRendezvous(benchmark::State& state) {
  packet_path_fixture fixture(false);
  uint32_t flow = 0;
  for (auto _ : state) {
    flow = NextFlow(flow, FlowCount(state));
    fixture.ReceiveFromCaller(flow, kAck, AtMs(2000));
  }
  if (fixture.sink.to_balancer == 0)
    state.SkipWithError("nothing was forwarded");
}

// The ingress has cached the upstream of the flow from return traffic, and
// chooses the pool of that upstream.
void IngressByCachedUpstream(benchmark::State& state) {
  packet_path_fixture fixture(false);
  for (uint32_t i = 0; i < FlowCount(state); ++i)
    fixture.ReceiveFromUpstream(i, 0x0a1e0101 + i % 8, kAck, AtMs(1));
  uint32_t flow = 0;
  for (auto _ : state) {
    flow = NextFlow(flow, FlowCount(state));
    fixture.ReceiveFromCaller(flow, kAck, AtMs(2000));
  }
}

BENCHMARK(Baseline)->Arg(10'000)->Arg(300'000);
BENCHMARK(OwnerFromCaller)->Arg(10'000)->Arg(300'000);
BENCHMARK(OwnerFromUpstream)->Arg(10'000)->Arg(300'000);
BENCHMARK(OwnerOpening)->Iterations(kFlowsForMemory);
BENCHMARK(IngressByRendezvous)->Arg(10'000)->Arg(300'000);
BENCHMARK(IngressByCachedUpstream)->Arg(10'000)->Arg(300'000);

// Prints the usual table, and keeps the times to print their ratios to the
// baseline.
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
    for (const auto& [name, cpu_time] : nanoseconds_) {
      const size_t slash = name.find('/');
      const std::string size = name.substr(slash);
      const auto baseline = nanoseconds_.find("Baseline" + size);
      if (baseline == nanoseconds_.end() || name.starts_with("Baseline"))
        continue;
      std::printf("%-28s %.2f of the baseline\n", name.c_str(),
                  cpu_time / baseline->second);
    }
  }

 private:
  std::map<std::string, double> nanoseconds_;
};

void PrintBytesPerFlow() {
  packet_path_fixture fixture(true);
  const size_t before = AllocatedBytes();
  fixture.OpenFlows(kFlowsForMemory, AtMs(1));
  const size_t allocated = AllocatedBytes() - before;
  std::printf("bytes allocated per open flow at %zu flows: %.1f\n",
              fixture.core.owner().OpenFlows(),
              static_cast<double>(allocated) / kFlowsForMemory);
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
