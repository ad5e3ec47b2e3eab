// Measures the cost of the table by its size, and the propagation of one edit.
#include <algorithm>
#include <cstdio>

#include "control/view_builder.h"
#include "peer/peer_codec.h"
#include "support/bench_cluster.h"
#include "support/measure.h"
#include "support/process_usage.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr uint16_t kBasePort = 22000;
constexpr int kRounds = 3;

template <typename M>
std::string Encode(const M& message) {
  failure why;
  return EncodeFrame(message, why).value();
}

routing_view_inputs MakeFullViewInputs(const service_table& table) {
  routing_view_inputs inputs;
  inputs.self = MakeMember(0, 0, kBasePort).id;
  for (size_t d = 0; d < kInstallationDomains; ++d) {
    roster r = MakeRoster(table, d, kBalancersPerDomain, kBasePort);
    for (const member& m : r.members) inputs.alive.insert(m.id);
    inputs.rosters[r.domain] = std::move(r);
  }
  return inputs;
}

double MeasureDigestExchangeUs(const service_table& table) {
  failure why;
  return 1e6 * MinCpuSeconds(kRounds, [&] {
           const std::string frame = Encode(table_digest{ListVersions(table)});
           const auto message = DecodePayload(
               std::string_view(frame).substr(kFrameLengthBytes), why);
           FindNewerRecords(table,
                            std::get<table_digest>(message.value()).services);
         });
}

double MeasureAdoptionUs(const service_table& table) {
  double minimum = 1e9;
  for (int i = 0; i < kRounds; ++i) {
    service_table copy = table;
    findings found;
    minimum = std::min(minimum, MinCpuSeconds(1, [&] {
                         ApplyRecord(copy, {MakeService(0), 2, "edit"}, found);
                       }));
  }
  return 1e6 * minimum;
}

void MeasureBySize(const std::vector<size_t>& sizes,
                   std::vector<measurement>& all) {
  measurement bytes{"table.digest_message", "services", "B", {}};
  measurement digest{"table.digest", "services", "us", {}};
  measurement exchange{"table.digest_exchange", "services", "us", {}};
  measurement adopt{"table.adopt", "services", "us", {}};
  measurement view{"table.build_view", "services", "ms", {}};
  for (const size_t services : sizes) {
    const auto size = static_cast<double>(services);
    const service_table table = MakeServiceTable(services);
    const std::string frame = Encode(table_digest{ListVersions(table)});
    bytes.samples.push_back({size, static_cast<double>(frame.size())});
    uint64_t sum = 0;
    digest.samples.push_back({size, 1e6 * MinCpuSeconds(kRounds, [&] {
                                      sum += ComputeTableDigest(table);
                                    })});
    if (sum == 0) std::fprintf(stderr, "the digest of a table is 0\n");
    exchange.samples.push_back({size, MeasureDigestExchangeUs(table)});
    adopt.samples.push_back({size, MeasureAdoptionUs(table)});
    const routing_view_inputs inputs = MakeFullViewInputs(table);
    view.samples.push_back({size, 1e3 * MinCpuSeconds(kRounds, [&] {
                                    BuildRoutingView(table, inputs);
                                  })});
  }
  for (auto* m : {&bytes, &digest, &exchange, &adopt, &view}) all.push_back(*m);
}

// A push contains one record, so its size depends on the upstreams of that
// service.
void MeasurePush(std::vector<measurement>& all) {
  measurement bytes{"table.push", "upstreams", "B", {}};
  measurement parse{"table.parse_record", "upstreams", "us", {}};
  for (const size_t rows : {2, 8, 14, 50}) {
    service s = MakeService(1);
    s.upstreams.clear();
    while (s.upstreams.size() < rows)
      s.upstreams.push_back(MakeService(s.upstreams.size() + 1).upstreams[0]);
    const std::string text = ToRecordJson(s, "edit-of-an-operator");
    const auto size = static_cast<double>(rows);
    const std::string frame =
        Encode(table_records{{{text, 7, "edit-of-an-operator"}}});
    bytes.samples.push_back({size, static_cast<double>(frame.size())});
    parse.samples.push_back({size, 1e6 * MinCpuSeconds(kRounds, [&] {
                                     findings found;
                                     ParseRecord(text, 7, found);
                                   })});
  }
  all.push_back(bytes);
  all.push_back(parse);
}

void MeasurePropagation(const std::vector<size_t>& cluster_sizes,
                        std::vector<measurement>& all) {
  measurement seconds{"spread.until_all_hold_it", "balancers", "s", {}};
  measurement cpu_time{"spread.processor_of_all", "balancers", "s", {}};
  constexpr duration kPropagationTimeout = 7s;
  for (const size_t n : cluster_sizes) {
    bench_cluster cluster({n, 100, 1, n});
    if (!cluster.WaitUntilConnected(30s)) {
      std::fprintf(stderr,
                   "%zu balancers did not connect to each other in time\n", n);
      continue;
    }
    service edited = MakeService(0, 1);
    edited.upstreams[0].weight = 20;
    const double cpu_time_before = ThreadCpuSeconds();
    cluster.store().Set(ToServiceKey(edited.name),
                        ToRecordJson(edited, "edit"));
    const uint64_t version = cluster.store().revision();
    const duration elapsed = cluster.RunUntil(
        [&] {
          for (size_t i = 0; i < n; ++i) {
            if (cluster.VersionAt(i, edited.name) != version) return false;
          }
          return true;
        },
        kPropagationTimeout);
    if (elapsed >= kPropagationTimeout)
      std::fprintf(
          stderr,
          "%zu balancers: the edit was not in force everywhere in time\n", n);
    const auto size = static_cast<double>(n);
    seconds.samples.push_back(
        {size, std::chrono::duration<double>(elapsed).count()});
    cpu_time.samples.push_back({size, ThreadCpuSeconds() - cpu_time_before});
  }
  all.push_back(seconds);
  all.push_back(cpu_time);
}

}  // namespace

std::vector<measurement> MeasureTable(bench_scale scale) {
  const bool is_full = scale == bench_scale::kFull;
  std::vector<measurement> all;
  MeasureBySize(is_full ? std::vector<size_t>{250, 1000, kInstallationServices}
                        : std::vector<size_t>{50, 100, 200},
                all);
  MeasurePush(all);
  MeasurePropagation(is_full ? std::vector<size_t>{8, 24, 48, 77, 96}
                             : std::vector<size_t>{4, 8, 16},
                     all);
  return all;
}

}  // namespace radishyard
