// Collects the log lines of a flow, and those of its upstreams and balancers
// close to it in time, and determines the cause from them.
#include "ctl/explain.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

namespace radishyard {
namespace {

/// Events that concern a whole balancer: its start and stop, its settings, and
/// its view of the platform and of other balancers.
const std::set<std::string>& BalancerEvents() {
  static const std::set<std::string> events{
      "started",           "ready",
      "stopping",          "stopped",
      "platform_lost",     "platform_regained",
      "table_taken",       "paused",
      "suspended",         "peer_view",
      "settings_reloaded", "log_lines_suppressed"};
  return events;
}

/// Lines of balancers and upstreams are included up to this long before the
/// first and after the last line of the flow.
constexpr auto kContextWindow = std::chrono::seconds(10);

/// Parses the time of a line, such as "2026-01-02T03:04:05.678Z", in seconds.
std::optional<std::chrono::system_clock::time_point> ParseTime(
    const log_line& line) {
  std::tm parts{};
  std::istringstream in(line.time);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (in.fail()) return std::nullopt;
  return std::chrono::system_clock::from_time_t(timegm(&parts));
}

/// Returns true if `line` was written at most kContextWindow before the first
/// or after the last line of the flow.
bool IsNear(const log_line& line,
            const std::vector<const log_line*>& flow_lines) {
  const auto at = ParseTime(line);
  if (flow_lines.empty() || !at) return false;
  const auto first = ParseTime(*flow_lines.front());
  const auto last = ParseTime(*flow_lines.back());
  return first && last && *at >= *first - kContextWindow &&
         *at <= *last + kContextWindow;
}

/// `flow` is the id of a flow, or only the caller's address and port, which
/// stand between two spaces in the id.
bool BelongsToFlow(const log_line& line, const std::string& flow) {
  const std::string& id = FieldOrEmpty(line, "flow");
  if (id == flow) return true;
  return !id.empty() && id.find(" " + flow + " ") != std::string::npos;
}

bool ConcernsUpstream(const log_line& line,
                      const std::vector<std::string>& upstreams) {
  if (line.event.rfind("upstream_", 0) != 0) return false;
  const std::string& id = FieldOrEmpty(line, "upstream");
  return std::find(upstreams.begin(), upstreams.end(), id) != upstreams.end();
}

/// The lines of a flow that determine its cause. If there are several lines of
/// one kind, the last one counts.
struct flow_summary {
  /// Opening that was not placed, unless a later one was.
  const log_line* refused_opening = nullptr;
  const log_line* reset_flow = nullptr;       ///< Open flow reset.
  const log_line* dropped_packet = nullptr;   ///< Packet dropped.
  const log_line* unanswered_data = nullptr;  ///< Data retransmitted.
  const log_line* first_placed = nullptr;     ///< First opening placed.
  const log_line* last_placed = nullptr;      ///< Last opening placed.
  size_t placed_openings = 0;
};

flow_summary Summarize(const std::vector<const log_line*>& lines) {
  flow_summary summary;
  for (const log_line* line : lines) {
    if (line->event == "flow_reset") summary.reset_flow = line;
    if (line->event == "packet_dropped") summary.dropped_packet = line;
    if (line->event == "data_repeated") summary.unanswered_data = line;
    if (line->event != "opening") continue;
    if (FieldOrEmpty(*line, "decision") != "placed") {
      summary.refused_opening = line;
      continue;
    }
    // A copy may be placed after an earlier one was left to the caller's
    // retransmission.
    summary.refused_opening = nullptr;
    if (summary.placed_openings++ == 0) summary.first_placed = line;
    summary.last_placed = line;
  }
  return summary;
}

std::string DescribeRefusal(const log_line& line) {
  const std::string& decision = FieldOrEmpty(line, "decision");
  if (decision == "unknown_address")
    return "refused: table version " + FieldOrEmpty(line, "table") +
           " publishes no such address; the request was not executed";
  if (decision == "no_upstream")
    return "refused: the service had no ready upstream at revision " +
           FieldOrEmpty(line, "revision") + ", read " +
           FieldOrEmpty(line, "age_ms") +
           " ms before; the request was not executed";
  if (decision == "evacuated")
    return "refused: all failure domains with ready upstreams of the service "
           "were evacuated; the request was not executed";
  if (decision == "cold_upstream")
    return "dropped or refused: all ready upstreams of the service were cold, "
           "and none had a grant; the request was not executed";
  if (decision == "overload_refused")
    return "refused: the service was overloaded, see the lines of the event "
           "admission; the request was not executed";
  if (decision == "overload_delayed")
    return "left to the caller's retransmission: the service was overloaded";
  return "not opened: the balancer had no table or no upstreams yet";
}

std::string DescribeCause(const flow_summary& summary) {
  if (summary.refused_opening != nullptr)
    return DescribeRefusal(*summary.refused_opening);
  if (summary.reset_flow != nullptr)
    return "reset: its upstream no longer responded; the request may have been "
           "executed";
  if (summary.unanswered_data != nullptr)
    return "no response: upstream " +
           FieldOrEmpty(*summary.unanswered_data, "upstream") +
           " did not respond to data for " +
           FieldOrEmpty(*summary.unanswered_data, "unanswered_ms") + " ms";
  if (summary.dropped_packet != nullptr)
    return "packet dropped: the flow mark " +
           FieldOrEmpty(*summary.dropped_packet, "mark") +
           " referred to no upstream in the list at revision " +
           FieldOrEmpty(*summary.dropped_packet, "revision");
  if (summary.placed_openings > 1)
    return "opened late or not at all: upstream " +
           FieldOrEmpty(*summary.first_placed, "upstream") +
           " did not respond to its opening; " +
           std::to_string(summary.placed_openings) +
           " opening packets were sent, the last to upstream " +
           FieldOrEmpty(*summary.last_placed, "upstream");
  if (summary.last_placed != nullptr)
    return "placed on upstream " +
           FieldOrEmpty(*summary.last_placed, "upstream") +
           "; nothing else was logged, so its packets were forwarded "
           "without an error";
  return "no balancer logged this flow";
}

std::vector<std::string> ListUpstreams(
    const std::vector<const log_line*>& lines) {
  std::vector<std::string> upstreams;
  for (const log_line* line : lines) {
    const std::string& id = FieldOrEmpty(*line, "upstream");
    if (id.empty() || id == "0") continue;
    if (std::find(upstreams.begin(), upstreams.end(), id) == upstreams.end())
      upstreams.push_back(id);
  }
  return upstreams;
}

std::string ToText(const log_line& line) {
  std::string text = line.time + " " + line.source + " " + line.event;
  for (const auto& [key, value] : line.fields) {
    if (key == "level" || key == "program") continue;
    text.append(" ").append(key).append("=").append(value);
  }
  return text + "\n";
}

}  // namespace

flow_explanation ExplainFlow(const std::string& flow,
                             std::vector<log_line> lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const log_line& a, const log_line& b) { return a.time < b.time; });
  std::vector<const log_line*> flow_lines;
  std::set<std::string> sources;
  for (const log_line& line : lines) {
    if (!BelongsToFlow(line, flow)) continue;
    flow_lines.push_back(&line);
    sources.insert(line.source);
  }
  flow_explanation result;
  result.cause = DescribeCause(Summarize(flow_lines));
  result.upstreams = ListUpstreams(flow_lines);
  for (const log_line& line : lines) {
    const bool is_near_flow =
        sources.contains(line.source) && IsNear(line, flow_lines);
    const bool is_context_event = BalancerEvents().contains(line.event) ||
                                  ConcernsUpstream(line, result.upstreams);
    if (BelongsToFlow(line, flow) || (is_near_flow && is_context_event))
      result.lines.push_back(line);
  }
  return result;
}

command_result Explain(const std::string& flow,
                       const std::vector<std::string>& files) {
  std::vector<log_line> lines;
  findings found;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) found.Add(file, "cannot be read");
    const size_t slash = file.rfind('/');
    const std::string name =
        slash == std::string::npos ? file : file.substr(slash + 1);
    const auto read = ReadLogLines(in, name);
    lines.insert(lines.end(), read.begin(), read.end());
  }
  if (!found.empty()) return MakeFindingsResult(found);
  const flow_explanation result = ExplainFlow(flow, std::move(lines));
  command_result out;
  out.text = "cause: " + result.cause + "\n";
  out.json = {{"cause", result.cause}, {"upstreams", result.upstreams}};
  for (const log_line& line : result.lines) {
    out.text += ToText(line);
    out.json["lines"].push_back({{"time", line.time},
                                 {"source", line.source},
                                 {"event", line.event},
                                 {"fields", line.fields}});
  }
  return out;
}

}  // namespace radishyard
