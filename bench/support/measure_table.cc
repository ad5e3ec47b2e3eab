// The table: cost by its size, and the spread of one edit.
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

constexpr uint16_t kPort = 22000;
constexpr int kRounds = 3;

template <typename M>
std::string Frame(const M& message) {
  failure why;
  return EncodeFrame(message, why).value();
}

routing_view_inputs FullInputs(const service_table& table) {
  routing_view_inputs inputs;
  inputs.self = MakeMember(0, 0, kPort).id;
  for (size_t d = 0; d < kFullDomains; ++d) {
    roster r = MakeRoster(table, d, kFullMembers, kPort);
    for (const member& m : r.members) inputs.alive.insert(m.id);
    inputs.rosters[r.domain] = std::move(r);
  }
  return inputs;
}

double MicrosecondsOfExchange(const service_table& table) {
  failure why;
  return 1e6 * SecondsOf(kRounds, [&] {
           const std::string frame = Frame(table_digest{ListVersions(table)});
           const auto message = DecodePayload(
               std::string_view(frame).substr(kFrameLengthBytes), why);
           FindNewerRecords(table,
                            std::get<table_digest>(message.value()).services);
         });
}

double MicrosecondsOfAdopt(const service_table& table) {
  double least = 1e9;
  for (int i = 0; i < kRounds; ++i) {
    service_table copy = table;
    findings found;
    least = std::min(least, SecondsOf(1, [&] {
                       ApplyRecord(copy, {MakeService(0), 2, "edit"}, found);
                     }));
  }
  return 1e6 * least;
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
    const service_table table = MakeTable(services);
    const std::string frame = Frame(table_digest{ListVersions(table)});
    bytes.samples.push_back({size, static_cast<double>(frame.size())});
    uint64_t sum = 0;
    digest.samples.push_back({size, 1e6 * SecondsOf(kRounds, [&] {
                                      sum += ComputeTableDigest(table);
                                    })});
    if (sum == 0) std::fprintf(stderr, "the digest of a table is 0\n");
    exchange.samples.push_back({size, MicrosecondsOfExchange(table)});
    adopt.samples.push_back({size, MicrosecondsOfAdopt(table)});
    const routing_view_inputs inputs = FullInputs(table);
    view.samples.push_back({size, 1e3 * SecondsOf(kRounds, [&] {
                                    BuildRoutingView(table, inputs);
                                  })});
  }
  for (auto* m : {&bytes, &digest, &exchange, &adopt, &view}) all.push_back(*m);
}

// A push is one record, so its size goes by the service's upstreams.
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
        Frame(table_records{{{text, 7, "edit-of-an-operator"}}});
    bytes.samples.push_back({size, static_cast<double>(frame.size())});
    parse.samples.push_back({size, 1e6 * SecondsOf(kRounds, [&] {
                                     findings found;
                                     ParseRecord(text, 7, found);
                                   })});
  }
  all.push_back(bytes);
  all.push_back(parse);
}

void MeasureSpread(const std::vector<size_t>& fleets,
                   std::vector<measurement>& all) {
  measurement seconds{"spread.until_all_hold_it", "balancers", "s", {}};
  measurement spent{"spread.processor_of_all", "balancers", "s", {}};
  constexpr duration kMost = 7s;
  for (const size_t n : fleets) {
    control_fleet fleet({n, 100, 1, n});
    if (!fleet.Settle(30s)) {
      std::fprintf(stderr, "%zu balancers did not hear each other\n", n);
      continue;
    }
    service edited = MakeService(0, 1);
    edited.upstreams[0].weight = 20;
    const double before = ThreadSeconds();
    fleet.store().Set(ToServiceKey(edited.name), ToRecordJson(edited, "edit"));
    const uint64_t version = fleet.store().revision();
    const duration took = fleet.RunUntil(
        [&] {
          for (size_t i = 0; i < n; ++i) {
            if (fleet.VersionAt(i, edited.name) != version) return false;
          }
          return true;
        },
        kMost);
    if (took >= kMost)
      std::fprintf(stderr, "%zu balancers: not in force in time\n", n);
    const auto size = static_cast<double>(n);
    seconds.samples.push_back(
        {size, std::chrono::duration<double>(took).count()});
    spent.samples.push_back({size, ThreadSeconds() - before});
  }
  all.push_back(seconds);
  all.push_back(spent);
}

}  // namespace

std::vector<measurement> MeasureTable(extent how_much) {
  const bool is_full = how_much == extent::kFull;
  std::vector<measurement> all;
  MeasureBySize(is_full ? std::vector<size_t>{250, 1000, kFullServices}
                        : std::vector<size_t>{50, 100, 200},
                all);
  MeasurePush(all);
  MeasureSpread(is_full ? std::vector<size_t>{8, 24, 48, 77, 96}
                        : std::vector<size_t>{4, 8, 16},
                all);
  return all;
}

}  // namespace radishyard
