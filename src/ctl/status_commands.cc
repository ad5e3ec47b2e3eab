// Reads rosters and services from the store, then asks every balancer.
#include "ctl/status_commands.h"

#include <map>
#include <utility>

#include "ctl/balancer_status.h"
#include "ctl/edit.h"
#include "roster/roster_json.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr const char* kRosterPrefix = "rosters/";

// One balancer of a roster and what it answered.
struct asked_balancer {
  member who;
  std::optional<balancer_status> status;
  std::string reason;  // Why there is no status.
};

std::optional<std::vector<roster>> ReadRosters(blocking_store& store,
                                               failure& why) {
  const std::optional<object_batch> batch = store.List(kRosterPrefix, why);
  if (!batch) return std::nullopt;
  findings found;
  std::vector<roster> rosters;
  for (const stored_object& object : batch->objects) {
    findings mine;
    std::optional<roster> r = ParseRoster(object.value, mine);
    for (const finding& f : mine.list())
      found.Add(object.key + "#" + f.place, f.reason);
    if (r) rosters.push_back(std::move(*r));
  }
  if (found.empty()) return rosters;
  why = {failure_kind::kInvalid, found.Text()};
  return std::nullopt;
}

std::vector<asked_balancer> Ask(const std::vector<roster>& rosters,
                                const page_fetcher& fetch) {
  std::vector<asked_balancer> asked;
  std::vector<endpoint> addresses;
  for (const roster& r : rosters) {
    for (const member& m : r.members) {
      asked.push_back({m, std::nullopt, ""});
      addresses.push_back(m.admin);
    }
  }
  const std::vector<balancer_page> pages = fetch(addresses);
  for (size_t i = 0; i < asked.size() && i < pages.size(); ++i) {
    asked[i].reason = pages[i].reason;
    if (!pages[i].body) continue;
    asked[i].status = ParseStatus(*pages[i].body);
    if (!asked[i].status) asked[i].reason = "its status page is malformed";
  }
  return asked;
}

std::optional<std::vector<asked_balancer>> ReadAndAsk(blocking_store& store,
                                                      const page_fetcher& fetch,
                                                      failure& why) {
  const auto rosters = ReadRosters(store, why);
  if (!rosters) return std::nullopt;
  return Ask(*rosters, fetch);
}

uint64_t VersionAt(const balancer_status& status, const std::string& name) {
  const auto it = status.versions.find(name);
  return it == status.versions.end() ? 0 : it->second;
}

// True where the balancer has an older version than the store. A balancer that
// never knew a deleted service lacks nothing.
bool IsLagging(const balancer_status& status, const stored_service& s) {
  const uint64_t version = VersionAt(status, s.record.value.name);
  if (version == 0 && s.record.value.deleted) return false;
  return version < s.record.version;
}

void AddService(const stored_service& s,
                const std::vector<asked_balancer>& asked,
                command_result& result) {
  const std::string& name = s.record.value.name;
  size_t answered = 0;
  json lagging = json::array();
  std::string behind;
  for (const asked_balancer& b : asked) {
    if (!b.status) continue;
    ++answered;
    if (!IsLagging(*b.status, s)) continue;
    const uint64_t version = VersionAt(*b.status, name);
    lagging.push_back({{"balancer", b.who.id.name}, {"version", version}});
    behind += ' ';
    behind += b.who.id.name;
    behind += " (" + std::to_string(version) + ")";
  }
  const size_t in_force = answered - lagging.size();
  result.text += "service " + name + ": version " +
                 std::to_string(s.record.version) + ", edit " +
                 s.record.edit_id + ", in force on " +
                 std::to_string(in_force) + " of " + std::to_string(answered);
  if (!behind.empty()) result.text += ", lagging:" + behind;
  result.text += "\n";
  if (!lagging.empty()) result.code = exit_code::kLagging;
  result.json["services"].push_back({{"service", name},
                                     {"version", s.record.version},
                                     {"edit_id", s.record.edit_id},
                                     {"deleted", s.record.value.deleted},
                                     {"in_force", in_force},
                                     {"answered", answered},
                                     {"lagging", lagging}});
}

void AddBalancer(const asked_balancer& b, command_result& result) {
  std::string line = "balancer " + b.who.id.name + " in " + b.who.domain + ": ";
  json row{{"balancer", b.who.id.name},         {"domain", b.who.domain},
           {"admin", ToString(b.who.admin)},    {"leaving", b.who.leaving},
           {"reachable", b.status.has_value()}, {"reason", b.reason}};
  if (b.status) {
    row["incarnation"] = b.status->incarnation;
    row["versions"] = b.status->versions;
    row["epochs"] = b.status->epochs;
    line += "open flows " + std::to_string(b.status->open_flows) + ", queued " +
            std::to_string(b.status->queued_flows);
  } else {
    line += "no answer: " + b.reason;
  }
  if (b.who.leaving) line += ", leaving";
  result.text += line + "\n";
  result.json["balancers"].push_back(std::move(row));
}

// Sums over the owners of a service's pools.
using pool_sums = std::map<std::pair<std::string, std::string>, pool_status>;

void AddPools(const balancer_status& status, pool_sums& sums) {
  for (const pool_status& pool : status.pools) {
    if (!pool.is_owner) continue;
    pool_status& sum = sums[{pool.service, pool.domain}];
    sum.connections += pool.connections;
    sum.slots += pool.slots;
    sum.queued += pool.queued;
  }
}

std::string PoolLine(const std::string& name, const std::string& domain,
                     const pool_status& sum) {
  return "pool " + name + " in " + domain + ": connections " +
         std::to_string(sum.connections) + ", slots " +
         std::to_string(sum.slots) + ", queued " + std::to_string(sum.queued) +
         "\n";
}

void AddPoolSums(const pool_sums& sums, command_result& result) {
  result.json["pools"] = json::array();
  for (const auto& [key, sum] : sums) {
    const auto& [name, domain] = key;
    result.json["pools"].push_back({{"service", name},
                                    {"domain", domain},
                                    {"connections", sum.connections},
                                    {"slots", sum.slots},
                                    {"queued", sum.queued}});
    result.text += PoolLine(name, domain, sum);
  }
}

}  // namespace

command_result ReportStatus(blocking_store& store, const page_fetcher& fetch) {
  failure why;
  const auto services = ReadServices(store, why);
  if (!services) return FailedBy(why);
  const auto asked = ReadAndAsk(store, fetch, why);
  if (!asked) return FailedBy(why);
  command_result result;
  result.json["services"] = json::array();
  result.json["balancers"] = json::array();
  for (const stored_service& s : *services) AddService(s, *asked, result);
  size_t answered = 0;
  for (const asked_balancer& b : *asked) {
    AddBalancer(b, result);
    answered += b.status ? 1 : 0;
  }
  // Where no balancer answers, nothing shows that the table is in force.
  if (answered == 0 && !asked->empty()) result.code = exit_code::kLagging;
  return result;
}

command_result ReportFlows(blocking_store& store, const page_fetcher& fetch) {
  failure why;
  const auto asked = ReadAndAsk(store, fetch, why);
  if (!asked) return FailedBy(why);
  command_result result;
  pool_sums sums;
  uint64_t open = 0;
  uint64_t queued = 0;
  size_t answered = 0;
  for (const asked_balancer& b : *asked) {
    if (!b.status) continue;
    ++answered;
    open += b.status->open_flows;
    queued += b.status->queued_flows;
    AddPools(*b.status, sums);
  }
  result.json = {{"open", open},
                 {"queued", queued},
                 {"answered", answered},
                 {"balancers", asked->size()}};
  result.text = "flows: open " + std::to_string(open) + ", queued " +
                std::to_string(queued) + ", from " + std::to_string(answered) +
                " of " + std::to_string(asked->size()) + " balancers\n";
  AddPoolSums(sums, result);
  return result;
}

}  // namespace radishyard
