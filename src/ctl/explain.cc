// The walk from a flow's lines to those of its upstreams and balancers.
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

/// Events of a balancer's own life and of what it depends on.
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

/// Lines of balancers and upstreams count this long before and after the flow.
constexpr auto kWindow = std::chrono::seconds(10);

/// The instant of a line such as "2026-01-02T03:04:05.678Z".
std::optional<std::chrono::system_clock::time_point> TimeOf(
    const log_line& line) {
  std::tm parts{};
  std::istringstream in(line.time);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (in.fail()) return std::nullopt;
  return std::chrono::system_clock::from_time_t(timegm(&parts));
}

/// Whether `line` lies within kWindow of the flow's own lines.
bool IsNear(const log_line& line, const std::vector<const log_line*>& own) {
  const auto at = TimeOf(line);
  if (own.empty() || !at) return false;
  const auto first = TimeOf(*own.front());
  const auto last = TimeOf(*own.back());
  return first && last && *at >= *first - kWindow && *at <= *last + kWindow;
}

bool IsOfFlow(const log_line& line, const std::string& flow) {
  const std::string& id = Field(line, "flow");
  if (id == flow) return true;
  return !id.empty() && id.find(" " + flow + " ") != std::string::npos;
}

bool IsOfUpstream(const log_line& line,
                  const std::vector<std::string>& upstreams) {
  if (line.event.rfind("upstream_", 0) != 0) return false;
  const std::string& id = Field(line, "upstream");
  return std::find(upstreams.begin(), upstreams.end(), id) != upstreams.end();
}

/// Lines of the flow, as a summary.
struct flow_summary {
  const log_line* refusal = nullptr;   ///< Opening refused.
  const log_line* reset = nullptr;     ///< Open flow reset.
  const log_line* dropped = nullptr;   ///< Last packet dropped.
  const log_line* repeated = nullptr;  ///< Last data repeated.
  const log_line* first_opening = nullptr;
  const log_line* last_opening = nullptr;
  size_t openings = 0;
};

flow_summary Summarize(const std::vector<const log_line*>& lines) {
  flow_summary s;
  for (const log_line* line : lines) {
    if (line->event == "flow_reset") s.reset = line;
    if (line->event == "packet_dropped") s.dropped = line;
    if (line->event == "data_repeated") s.repeated = line;
    if (line->event != "opening") continue;
    if (s.openings++ == 0) s.first_opening = line;
    s.last_opening = line;
    if (Field(*line, "decision") != "placed") s.refusal = line;
  }
  return s;
}

std::string RefusalCause(const log_line& line) {
  const std::string& decision = Field(line, "decision");
  if (decision == "unknown_address")
    return "refused: table version " + Field(line, "table") +
           " publishes no such address; the request has not run";
  if (decision == "no_upstream")
    return "refused: the service had no ready upstream at revision " +
           Field(line, "revision") + ", read " + Field(line, "age_ms") +
           " ms before; the request has not run";
  return "not opened: the balancer had no table or no upstreams yet";
}

std::string CauseOf(const flow_summary& s) {
  if (s.refusal != nullptr) return RefusalCause(*s.refusal);
  if (s.reset != nullptr)
    return "reset: its upstream no longer answered; the request may have run";
  if (s.repeated != nullptr)
    return "silent: upstream " + Field(*s.repeated, "upstream") +
           " left data without an answer for " +
           Field(*s.repeated, "unanswered_ms") + " ms";
  if (s.dropped != nullptr)
    return "silent: the flow's mark " + Field(*s.dropped, "mark") +
           " named no upstream known at revision " +
           Field(*s.dropped, "revision");
  if (s.openings > 1)
    return "opened late or not at all: upstream " +
           Field(*s.first_opening, "upstream") +
           " left its opening without an answer; " +
           std::to_string(s.openings) + " copies were sent, the last to " +
           Field(*s.last_opening, "upstream");
  if (s.last_opening != nullptr)
    return "placed on upstream " + Field(*s.last_opening, "upstream") +
           "; nothing else was logged, so its packets went on without trouble";
  return "no balancer logged this flow";
}

std::vector<std::string> UpstreamsOf(
    const std::vector<const log_line*>& lines) {
  std::vector<std::string> upstreams;
  for (const log_line* line : lines) {
    const std::string& id = Field(*line, "upstream");
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
  std::vector<const log_line*> own;
  std::set<std::string> sources;
  for (const log_line& line : lines) {
    if (!IsOfFlow(line, flow)) continue;
    own.push_back(&line);
    sources.insert(line.source);
  }
  flow_explanation result;
  result.cause = CauseOf(Summarize(own));
  result.upstreams = UpstreamsOf(own);
  for (const log_line& line : lines) {
    const bool is_around = sources.contains(line.source) && IsNear(line, own);
    const bool is_of_others = BalancerEvents().contains(line.event) ||
                              IsOfUpstream(line, result.upstreams);
    if (IsOfFlow(line, flow) || (is_around && is_of_others))
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
  if (!found.empty()) return FoundFaults(found);
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
