// Parses the command of a run, draws its requests from a seeded generator, and
// builds its report.
#include "support/load_run.h"

#include <algorithm>
#include <stdexcept>

namespace radishyard {
namespace {

using nlohmann::json;

constexpr size_t kMaxExamples = 8;
constexpr size_t kMaxRefusedIds = 20'000;

number_range ParseRange(const json& command, const char* key,
                        number_range fallback) {
  if (!command.contains(key)) return fallback;
  return {command[key].at(0), command[key].at(1)};
}

uint32_t Draw(const number_range& range, std::mt19937& random) {
  return std::uniform_int_distribution<uint32_t>(range.min, range.max)(random);
}

json ToPercentiles(std::vector<double> values) {
  if (values.empty()) return nullptr;
  std::ranges::sort(values);
  const auto at = [&](double share) {
    return values[static_cast<size_t>(share * (values.size() - 1))];
  };
  return {{"p50", at(0.5)},
          {"p95", at(0.95)},
          {"p99", at(0.99)},
          {"max", values.back()}};
}

double ToMilliseconds(duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

}  // namespace

run_spec ParseRunSpec(const json& c) {
  run_spec spec;
  spec.flows = c.value("flows", spec.flows);
  spec.rate = c.value("rate", spec.rate);
  spec.concurrency = c.value("concurrency", spec.concurrency);
  spec.service = c.at("service");
  if (!ParseAddress(c.at("address"), spec.at.address))
    throw std::invalid_argument("not an IPv4 address");
  spec.at.port = c.at("port");
  if (c.value("protocol", "tcp") == "udp") spec.proto = protocol::kUdp;
  spec.is_feed = c.value("kind", "request") == "feed";
  spec.idempotent = c.value("idempotent", spec.idempotent);
  spec.service_ms = ParseRange(c, "ms", spec.service_ms);
  spec.bytes = ParseRange(c, "bytes", spec.bytes);
  spec.parts = c.value("parts", spec.parts);
  spec.lines = c.value("lines", spec.lines);
  spec.line_interval = milliseconds(c.value("line_ms", 1000));
  spec.push_ms = c.value("push_ms", spec.push_ms);
  spec.feed_duration = seconds(c.value("feed_s", 0));
  spec.timeout = milliseconds(c.value("timeout_ms", 30'000));
  spec.retry_interval = milliseconds(c.value("retry_ms", 1000));
  spec.callers = std::clamp(c.value("callers", spec.callers), 1U, 250U);
  spec.seed = c.value("seed", spec.seed);
  if (spec.is_feed && spec.proto == protocol::kUdp)
    throw std::invalid_argument("a feed requires protocol tcp");
  return spec;
}

bool load_run::IsSettled() const {
  return started == spec.flows && open == alive;
}

request load_run::NextRequest() {
  request r;
  r.id = std::to_string(id) + "." + std::to_string(++started);
  r.service = spec.service;
  r.service_ms = Draw(spec.service_ms, random);
  r.bytes = Draw(spec.bytes, random);
  r.parts = spec.parts;
  r.push_ms = spec.is_feed ? spec.push_ms : 0;
  r.idempotent = spec.idempotent;
  return r;
}

void load_run::RecordAccepted(time_point now) {
  if (accepted++ > 0) longest_gap = std::max(longest_gap, now - last_accepted);
  last_accepted = now;
}

void load_run::RecordEnd(flow_outcome outcome, const std::string& flow,
                         const std::string& reason, duration took) {
  ++ended[outcome];
  --open;
  if (outcome == flow_outcome::kCompleted)
    latency_ms.push_back(ToMilliseconds(took));
  if (outcome == flow_outcome::kRefused) {
    refusal_ms.push_back(ToMilliseconds(took));
    if (refused_ids.size() < kMaxRefusedIds) refused_ids.push_back(flow);
  }
  if (outcome != flow_outcome::kCompleted && examples.size() < kMaxExamples)
    examples.push_back("id=" + flow + " after_ms=" +
                       std::to_string(ToMs(took)) + " " + reason);
}

json load_run::Report() const {
  const auto count = [&](flow_outcome outcome) {
    const auto found = ended.find(outcome);
    return found == ended.end() ? 0U : found->second;
  };
  return {{"run", id},
          {"service", spec.service},
          {"kind", spec.is_feed ? "feed" : "request"},
          {"started", started},
          {"open", open},
          {"accepted", accepted},
          {"alive", alive},
          {"completed", count(flow_outcome::kCompleted)},
          {"refused", count(flow_outcome::kRefused)},
          {"broken", count(flow_outcome::kBroken)},
          {"wrong", count(flow_outcome::kWrong)},
          {"timeouts", count(flow_outcome::kTimedOut)},
          {"retried", retried},
          {"latency_ms", ToPercentiles(latency_ms)},
          {"refusal_ms", ToPercentiles(refusal_ms)},
          {"longest_gap_ms", ToMilliseconds(longest_gap)},
          {"lines_sent", lines_sent},
          {"echoes", echoes},
          {"examples", examples}};
}

}  // namespace radishyard
