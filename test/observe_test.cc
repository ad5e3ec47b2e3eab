// Tests the format of log lines, the metrics page and the trace file.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <regex>

#include "daemon/balancer_metrics.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "observe/trace.h"

namespace radishyard {
namespace {

using nlohmann::json;
using testing::HasSubstr;

std::vector<std::string> ReadLines(const std::string& file) {
  std::ifstream in(file);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

// Returns a path in the temporary folder, after removing the file of a previous
// run.
std::string PathWithoutFile(const std::string& name) {
  std::string file = testing::TempDir() + "/" + name;
  std::remove(file.c_str());
  return file;
}

TEST(Log, WritesAnEventAsOneLineOfKeyValuePairsWithItsTimeInUtc) {
  const std::string file = PathWithoutFile("observe.log");
  // The local time differs from UTC.
  setenv("TZ", "Africa/Casablanca", 1);
  OpenLog("radishyardd", severity::kInfo, file);
  Log(severity::kWarn, "service_malformed",
      {{"version", 7}, {"findings", "a \"b\"\nc=\\"}, {"empty", ""}});
  Log(severity::kDebug, "below_minimum_level");
  const auto lines = ReadLines(file);
  ASSERT_EQ(lines.size(), 1U);
  std::smatch match;
  // A line feed in a value is written as a space.
  const std::regex line_pattern(
      R"(time=(\d{4}-\d\d-\d\dT\d\d):\d\d:\d\d\.\d{3}Z level=WARN )"
      R"(program=radishyardd event=service_malformed version=7 )"
      R"(findings="a \\"b\\" c=\\\\" empty="")");
  ASSERT_TRUE(std::regex_match(lines[0], match, line_pattern)) << lines[0];
  const std::time_t now = std::time(nullptr);
  std::array<char, 32> hour{};
  std::strftime(hour.data(), hour.size(), "%Y-%m-%dT%H", std::gmtime(&now));
  EXPECT_EQ(match[1], hour.data());
}

TEST(TimeHistogram, BucketsAreCumulativeAndTheirBoundsDouble) {
  time_histogram times;
  for (const duration time : {duration(0), duration(3ms), duration(3ms)})
    times.Add(time);
  time_histogram sum = times;
  sum += times;
  sum.Add(100s);
  const auto buckets = sum.Buckets();
  EXPECT_EQ(buckets.size(), 17U);
  EXPECT_NEAR(buckets[0].upper_bound_s, 0.001, 1e-9);
  EXPECT_EQ(buckets[0].count, 2U);
  EXPECT_EQ(buckets[1].count, 2U);
  EXPECT_EQ(buckets[2].count, 6U);
  EXPECT_NEAR(buckets.back().upper_bound_s, 65.536, 1e-6);
  EXPECT_EQ(buckets.back().count, 6U);
  EXPECT_EQ(sum.Count(), 7U);
  EXPECT_NEAR(sum.SumSeconds(), 100.012, 1e-9);
  EXPECT_EQ(times.Count(), 3U);
}

TEST(Metrics, PageListsThreadsPoolsAndHistograms) {
  balancer_statistics statistics;
  statistics.threads.resize(2);
  statistics.threads[1].counters.placed = 12;
  statistics.threads[1].open_flows = 5;
  // Two upstreams (address, connections, slots), 6 queued openings, 8 free
  // slots.
  statistics.threads[1].loads = {
      {{"survey-link", "rennes"}, {{{1, 3, 1}, {2, 4, 2}}, 6, 8}}};
  for (traffic_report& report : statistics.threads)
    report.times.queue_wait.Add(3ms);
  statistics.peers.bytes_sent = 1'000;
  statistics.handovers.longest = 250ms;
  statistics.calls.watches = 4;
  statistics.evacuations.records["rennes"] = {"rennes", true, 7, "e"};
  const std::string page = BalancerMetrics(statistics);
  for (const char* line :
       {"# TYPE radishyard_traffic_placed_total counter\n",
        "radishyard_traffic_placed_total{thread=\"1\"} 12\n",
        "radishyard_open_flows{thread=\"1\"} 5\n",
        "radishyard_queue_wait_seconds_bucket{le=\"0.002\"} 0\n",
        "radishyard_queue_wait_seconds_bucket{le=\"0.004\"} 2\n",
        "radishyard_queue_wait_seconds_bucket{le=\"+Inf\"} 2\n",
        "radishyard_queue_wait_seconds_count 2\n",
        "radishyard_peer_bytes_sent_total 1000\n",
        "radishyard_handover_longest_seconds 0.25\n",
        "radishyard_evacuated{domain=\"rennes\"} 1\n",
        "radishyard_platform_calls_total{call=\"watch\"} 4\n"})
    EXPECT_THAT(page, HasSubstr(line));
  const std::string pool_labels =
      "{service=\"survey-link\",domain=\"rennes\"} ";
  for (const auto& [name, value] :
       std::map<std::string, std::string>{{"connections", "7"},
                                          {"slots", "3"},
                                          {"queued", "6"},
                                          {"free_slots", "8"}})
    EXPECT_THAT(page, HasSubstr(std::string("radishyard_pool_")
                                    .append(name)
                                    .append(pool_labels)
                                    .append(value)));
}

TEST(Metrics, EscapesLabelValues) {
  metrics_page page;
  page.BeginMetric(metric_kind::kGauge, "g", "Help.");
  page.AddSample({{"a", "x\"y\\z\n"}}, 0.5);
  EXPECT_THAT(page.Text(), HasSubstr("g{a=\"x\\\"y\\\\z\\n\"} 0.5\n"));
}

// Two balancers each write one hop of the same flow. The hop of the second
// balancer refers to the hop of the first as its parent. In the file, a hop is
// a span. The first values of a hop are its trace, its span and its parent
// span.
TEST(Trace, LinksHopsOfTwoBalancersByTheirIds) {
  asio::io_context io;
  failure why;
  const std::string file = PathWithoutFile("observe.trace");
  const auto ingress_trace = trace_writer::Open(io, "rennes-1", file, why);
  const auto owner_trace = trace_writer::Open(io, "quimper-1", file, why);
  const flow_key key{{0x0a010002, 4000}, {0x0a140001, 7001}, protocol::kTcp};
  const time_point now = std::chrono::steady_clock::now();
  ASSERT_TRUE(
      ingress_trace->TryQueueHop({77, 5, 0, "ingress", "to-owner", key, now}));
  ASSERT_TRUE(owner_trace->TryQueueHop({77, 6, 5, "owner", "open", key, now}));
  EXPECT_TRUE(ReadLines(file).empty())
      << "TryQueueHop wrote lines to the file before io.run()";
  io.run();
  const auto lines = ReadLines(file);
  ASSERT_EQ(lines.size(), 2U);
  const json first = json::parse(lines[0]);
  const json second = json::parse(lines[1]);
  EXPECT_EQ(first["trace"], second["trace"]);
  EXPECT_EQ(first["span"], second["parent"]);
  EXPECT_FALSE(first.contains("parent"));
  EXPECT_EQ(second["balancer"], "quimper-1");
  EXPECT_EQ(second["outcome"], "open");
  EXPECT_EQ(second["caller"], "10.1.0.2:4000");
  EXPECT_EQ(second["service"], "10.20.0.1:7001");
}

TEST(Trace, DropsHopsIfTheQueueIsFullAndReportsFilesThatCannotBeOpened) {
  asio::io_context io;
  failure why;
  const auto writer =
      trace_writer::Open(io, "b", PathWithoutFile("full.trace"), why);
  for (size_t i = 0; i < kMaxQueuedHops; ++i)
    ASSERT_TRUE(writer->TryQueueHop({1, i + 1, 0, "owner", "open", {}, {}}));
  EXPECT_FALSE(writer->TryQueueHop({1, 1, 0, "owner", "open", {}, {}}));
  io.run();
  EXPECT_EQ(writer->written(), kMaxQueuedHops);
  EXPECT_EQ(writer->dropped(), 1U);
  EXPECT_TRUE(writer->TryQueueHop({1, 1, 0, "owner", "open", {}, {}}));
  EXPECT_EQ(trace_writer::Open(io, "b", "/nowhere/t", why), nullptr);
  EXPECT_THAT(why.text, HasSubstr("/nowhere/t"));
}

}  // namespace
}  // namespace radishyard
