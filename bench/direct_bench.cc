// Benchmarks direct server return by the number of upstreams and flows: a
// packet of an open flow, an opening, a new upstream list from the registry,
// and the messages between peers.
#include <benchmark/benchmark.h>

#include "peer/peer_codec.h"
#include "radishyard/direct.h"

namespace radishyard {
namespace {

constexpr uint32_t kFirstPublishedAddress = 0xC6336401;
constexpr uint32_t kServices = 30;

upstream_list MakeUpstreamList(uint32_t count) {
  upstream_list list{.revision = {0, 1}};
  for (uint32_t i = 0; i < count; ++i)
    list.upstreams.push_back(
        {.id = 0x1000193ULL * (i + 1),
         .service = "service-" + std::to_string(i % kServices),
         .address = {0x0A000000 + i, 8000},
         .domain = "domain-" + std::to_string(i % 13),
         .slots = 2,
         .started_unix_ms = 1'700'000'000'000 + i});
  return list;
}

routing_table MakeTable(uint32_t rows) {
  routing_table table{.version = 1};
  for (uint32_t i = 0; i < rows; ++i)
    table.addresses.push_back(
        {.address = {kFirstPublishedAddress + i, 443},
         .shares = {{"service-" + std::to_string(i % kServices), 1}},
         .retry_class = request_class::kIdempotent});
  return table;
}

direct_packet MakePacket(uint32_t caller) {
  direct_packet p;
  p.flow = {{0x64400000 + caller, 4000},
            {kFirstPublishedAddress + caller % kServices, 443},
            protocol::kTcp};
  return p;
}

// Makes the state of a balancer with `upstreams` ready upstreams and `flows`
// open flows.
std::unique_ptr<forwarding_state> MakeState(uint32_t upstreams,
                                            uint32_t flows) {
  auto state = std::make_unique<forwarding_state>();
  state->domain = "domain-0";
  ApplyTable(*state, MakeTable(kServices));
  ApplyUpstreamList(*state, MakeUpstreamList(upstreams), AtMs(0), AtMs(0));
  for (uint32_t caller = 0; caller < flows; ++caller) {
    direct_packet p = MakePacket(caller);
    p.is_opening = true;
    p.mark = RoutePacket(*state, p, AtMs(1)).mark;
    p.is_opening = false;
    p.length = 100;
    RoutePacket(*state, p, AtMs(2));
  }
  return state;
}

void MarkedPacket(benchmark::State& bench) {
  const auto flows = static_cast<uint32_t>(bench.range(1));
  const auto state = MakeState(static_cast<uint32_t>(bench.range(0)), flows);
  std::vector<direct_packet> packets;
  for (uint32_t caller = 0; caller < flows; ++caller) {
    packets.push_back(MakePacket(caller));
    packets.back().mark = state->tracker.flows.at(packets.back().flow).mark;
    packets.back().length = 100;
  }
  uint32_t i = 0;
  for (auto _ : bench) {
    direct_packet& p = packets[i++ % flows];
    p.sequence += 100;
    benchmark::DoNotOptimize(RoutePacket(*state, p, AtMs(10)));
  }
}
BENCHMARK(MarkedPacket)
    ->Args({150, 1000})
    ->Args({150, 20'000})
    ->Args({5500, 20'000});

void Opening(benchmark::State& bench) {
  const auto state = MakeState(static_cast<uint32_t>(bench.range(0)), 0);
  uint32_t caller = 0;
  for (auto _ : bench) {
    direct_packet p = MakePacket(++caller);
    p.is_opening = true;
    benchmark::DoNotOptimize(RoutePacket(*state, p, AtMs(10)));
    RemoveFlow(state->tracker, state->directory, p.flow);
  }
}
BENCHMARK(Opening)->Arg(18)->Arg(150)->Arg(5500);

void ReadRegistry(benchmark::State& bench) {
  const auto state = MakeState(static_cast<uint32_t>(bench.range(0)), 0);
  upstream_list list = MakeUpstreamList(static_cast<uint32_t>(bench.range(0)));
  for (auto _ : bench) {
    ++list.revision.number;
    benchmark::DoNotOptimize(
        ApplyUpstreamList(*state, list, AtMs(10), AtMs(10)));
  }
}
BENCHMARK(ReadRegistry)->Arg(18)->Arg(150)->Arg(5500);

void Snapshot(benchmark::State& bench) {
  const auto state = MakeState(static_cast<uint32_t>(bench.range(0)), 0);
  size_t bytes = 0;
  for (auto _ : bench) {
    failure why;
    const auto frame =
        EncodeFrame(MakeSnapshot(*state, {.table_version = 1}, AtMs(10)), why);
    bytes = frame ? frame->size() : 0;
  }
  bench.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(Snapshot)->Arg(18)->Arg(150)->Arg(5500);

// Ten upstreams have been replaced since the list that the requesting balancer
// has.
void SnapshotOfChanges(benchmark::State& bench) {
  constexpr uint64_t kReplaced = 10;
  const auto state = MakeState(static_cast<uint32_t>(bench.range(0)), 0);
  snapshot_request request = MakeSnapshotRequest(*state);
  upstream_list list = state->applied_list;
  ++list.revision.number;
  for (uint64_t i = 0; i < kReplaced; ++i) list.upstreams[i].id += 1;
  ApplyUpstreamList(*state, list, AtMs(10), AtMs(10));
  size_t bytes = 0;
  for (auto _ : bench) {
    failure why;
    const auto frame =
        EncodeFrame(MakeSnapshot(*state, request, AtMs(20)), why);
    bytes = frame ? frame->size() : 0;
  }
  bench.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SnapshotOfChanges)->Arg(18)->Arg(150)->Arg(5500);

void Report(benchmark::State& bench) {
  view_report report;
  report.self = {{0x0A000001, 7720}, "domain-0", 55};
  report.revision = 1'000'000;
  report.digest = UINT64_MAX;
  for (uint32_t i = 0; i < static_cast<uint32_t>(bench.range(0)); ++i)
    report.outcomes.push_back({0x1000193ULL * (i + 1), 3, 20'000, 0});
  size_t bytes = 0;
  for (auto _ : bench) {
    failure why;
    const auto frame = EncodeFrame(report, why);
    bytes = frame ? frame->size() : 0;
    benchmark::DoNotOptimize(DecodePayload(ParseFrame(*frame).payload, why));
  }
  bench.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(Report)->Arg(0)->Arg(kMaxReportedUpstreams);

}  // namespace
}  // namespace radishyard

BENCHMARK_MAIN();
