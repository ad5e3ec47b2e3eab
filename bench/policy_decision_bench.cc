// Benchmarks the decisions of a pool: an opening is placed and its flow ends,
// or an opening is refused.
#include <benchmark/benchmark.h>

#include <string>

#include "pool/pool_state.h"

namespace radishyard {
namespace {

pool_state MakePool(int64_t rows, uint32_t slots) {
  service table{.name = "survey", .address = 1};
  for (int64_t r = 0; r < rows; ++r) {
    table.upstreams.push_back({"u" + std::to_string(r),
                               static_cast<uint32_t>(r + 1), "rennes", 10,
                               slots, 2000, upstream_state::kActive});
  }
  pool_state pool;
  Configure(pool, table, "rennes", AtMs(0));
  return pool;
}

void PlaceAndRelease(benchmark::State& state, port_kind kind) {
  pool_state pool = MakePool(state.range(0), 2);
  open_request request;
  request.kind = kind;
  int64_t ms = 0;
  for (auto _ : state) {
    const time_point now = AtMs(++ms);
    request.key.caller.address = static_cast<uint32_t>(ms % 1000);
    const open_decision d = Open(pool, request, now);
    RecordResponse(pool, d.upstream, 1ms, now);
    ReleaseFlow(pool, ReservationFor(request, d.upstream), flow_end::kCompleted,
                20ms, now);
  }
}

// All slots are in use and the queue is full, so that each new opening is
// refused at once.
void RefuseAtFullQueue(benchmark::State& state) {
  pool_state pool = MakePool(state.range(0), 2);
  open_request request;
  request.kind = port_kind::kRequest;
  for (uint32_t i = 0; i < 1000; ++i) {
    request.key.caller.address = i;
    Open(pool, request, AtMs(1));
  }
  for (auto _ : state) benchmark::DoNotOptimize(Open(pool, request, AtMs(1)));
}

BENCHMARK_CAPTURE(PlaceAndRelease, feed, port_kind::kFeed)
    ->Arg(5)
    ->Arg(14)
    ->Arg(300);
BENCHMARK_CAPTURE(PlaceAndRelease, request, port_kind::kRequest)
    ->Arg(5)
    ->Arg(14)
    ->Arg(300);
BENCHMARK(RefuseAtFullQueue)->Arg(14)->Arg(300);

}  // namespace
}  // namespace radishyard

BENCHMARK_MAIN();
