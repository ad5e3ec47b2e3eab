// Reads services and rosters from the store, and fetches the status of every
// balancer in the rosters.
#include "ctl/status_commands.h"

#include <map>
#include <utility>

#include "ctl/balancer_status.h"
#include "ctl/edit.h"
#include "ctl/evacuation_commands.h"
#include "roster/roster_json.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr const char* kRosterPrefix = "rosters/";

// One balancer of a roster, with its status if it responded.
struct polled_balancer {
  member entry;
  std::optional<balancer_status> status;
  std::string reason;  // Reason if there is no status.
};

std::optional<std::vector<roster>> ReadRosters(blocking_store& store,
                                               failure& why) {
  const std::optional<object_batch> batch = store.List(kRosterPrefix, why);
  if (!batch) return std::nullopt;
  findings found;
  std::vector<roster> rosters;
  for (const stored_object& object : batch->objects) {
    findings object_findings;
    std::optional<roster> r = ParseRoster(object.value, object_findings);
    for (const finding& f : object_findings.list())
      found.Add(object.key + "#" + f.place, f.reason);
    if (r) rosters.push_back(std::move(*r));
  }
  if (found.empty()) return rosters;
  why = {failure_kind::kInvalid, found.Text()};
  return std::nullopt;
}

std::vector<polled_balancer> FetchStatuses(const std::vector<roster>& rosters,
                                           const page_fetcher& fetch) {
  std::vector<polled_balancer> polled;
  std::vector<endpoint> addresses;
  for (const roster& r : rosters) {
    for (const member& m : r.members) {
      polled.push_back({m, std::nullopt, ""});
      addresses.push_back(m.admin);
    }
  }
  const std::vector<balancer_page> pages = fetch(addresses);
  for (size_t i = 0; i < polled.size() && i < pages.size(); ++i) {
    polled[i].reason = pages[i].reason;
    if (!pages[i].body) continue;
    polled[i].status = ParseStatus(*pages[i].body);
    if (!polled[i].status) polled[i].reason = "the status page is malformed";
  }
  return polled;
}

std::optional<std::vector<polled_balancer>> ReadRostersAndFetchStatuses(
    blocking_store& store, const page_fetcher& fetch, failure& why) {
  const auto rosters = ReadRosters(store, why);
  if (!rosters) return std::nullopt;
  return FetchStatuses(*rosters, fetch);
}

using version_map = std::map<std::string, uint64_t>;

uint64_t AppliedVersion(const version_map& versions, const std::string& name) {
  const auto it = versions.find(name);
  return it == versions.end() ? 0 : it->second;
}

// On how many balancers a version of the store is in force.
struct in_force_counts {
  size_t responded = 0;
  json lagging = json::array();
  std::string lagging_text;

  size_t InForce() const { return responded - lagging.size(); }
};

// Compares the store's version of the object `name` with those in the member
// `applied` of each status. A balancer lags if it has an older version; one
// that has none is up to date if `may_be_absent`.
in_force_counts CountInForce(const std::vector<polled_balancer>& polled,
                             version_map balancer_status::*applied,
                             const std::string& name, uint64_t stored_version,
                             bool may_be_absent) {
  in_force_counts counts;
  for (const polled_balancer& b : polled) {
    if (!b.status) continue;
    ++counts.responded;
    const uint64_t version = AppliedVersion(*b.status.*applied, name);
    if (version >= stored_version || (version == 0 && may_be_absent)) continue;
    counts.lagging.push_back(
        {{"balancer", b.entry.id.name}, {"version", version}});
    counts.lagging_text += ' ';
    counts.lagging_text += b.entry.id.name;
    counts.lagging_text += " (" + std::to_string(version) + ")";
  }
  return counts;
}

// Adds the end of a line and of a JSON row about a version of the store.
void AddCounts(uint64_t version, const std::string& edit_id,
               const in_force_counts& counts, json row, const char* list,
               command_result& result) {
  result.text += "version " + std::to_string(version) + ", edit " + edit_id +
                 ", in force on " + std::to_string(counts.InForce()) + " of " +
                 std::to_string(counts.responded);
  if (!counts.lagging_text.empty())
    result.text += ", lagging:" + counts.lagging_text;
  result.text += "\n";
  if (!counts.lagging.empty()) result.code = exit_code::kLagging;
  row["version"] = version;
  row["edit_id"] = edit_id;
  row["in_force"] = counts.InForce();
  row["answered"] = counts.responded;
  row["lagging"] = counts.lagging;
  result.json[list].push_back(std::move(row));
}

// A balancer that never had a service which is now deleted is up to date.
void AddService(const stored_service& s,
                const std::vector<polled_balancer>& polled,
                command_result& result) {
  const std::string& name = s.record.value.name;
  const bool deleted = s.record.value.deleted;
  result.text += "service " + name + ": ";
  AddCounts(s.record.version, s.record.edit_id,
            CountInForce(polled, &balancer_status::versions, name,
                         s.record.version, deleted),
            {{"service", name}, {"deleted", deleted}}, "services", result);
}

// Adds a domain that is evacuated, or that was. A malformed record has no
// effect on any balancer.
void AddEvacuation(const stored_evacuation& stored,
                   const std::vector<polled_balancer>& polled,
                   command_result& result) {
  const std::string& domain = stored.domain;
  if (!stored.faults.empty()) {
    result.text += "evacuation of " + domain +
                   ": malformed, without effect: " + stored.faults.Text() +
                   "\n";
    result.json["evacuations"].push_back({{"domain", domain},
                                          {"version", stored.version},
                                          {"reason", stored.faults.Text()}});
    result.code = exit_code::kFindings;
    return;
  }
  const bool evacuated = stored.record.evacuated;
  result.text +=
      "domain " + domain + (evacuated ? ": evacuated, " : ": not evacuated, ");
  AddCounts(stored.version, stored.record.edit_id,
            CountInForce(polled, &balancer_status::evacuations, domain,
                         stored.version, !evacuated),
            {{"domain", domain}, {"evacuated", evacuated}}, "evacuations",
            result);
}

void AddBalancer(const polled_balancer& b, command_result& result) {
  std::string line =
      "balancer " + b.entry.id.name + " in " + b.entry.domain + ": ";
  json row{{"balancer", b.entry.id.name},       {"domain", b.entry.domain},
           {"admin", ToString(b.entry.admin)},  {"leaving", b.entry.leaving},
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
  if (b.entry.leaving) line += ", leaving";
  result.text += line + "\n";
  result.json["balancers"].push_back(std::move(row));
}

// Sums of the counts that the owners of a pool report, by service and failure
// domain.
using pool_sums = std::map<std::pair<std::string, std::string>, pool_status>;

void AddOwnedPools(const balancer_status& status, pool_sums& sums) {
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
  if (!services) return MakeFailureResult(why);
  const auto evacuations = ReadEvacuations(store, why);
  if (!evacuations) return MakeFailureResult(why);
  const auto polled = ReadRostersAndFetchStatuses(store, fetch, why);
  if (!polled) return MakeFailureResult(why);
  command_result result;
  result.json["evacuations"] = json::array();
  result.json["services"] = json::array();
  for (const stored_evacuation& e : *evacuations)
    AddEvacuation(e, *polled, result);
  result.json["balancers"] = json::array();
  for (const stored_service& s : *services) AddService(s, *polled, result);
  size_t responded = 0;
  for (const polled_balancer& b : *polled) {
    AddBalancer(b, result);
    responded += b.status ? 1 : 0;
  }
  // If no balancer responds, nothing confirms that the versions are in force.
  if (responded == 0 && !polled->empty()) result.code = exit_code::kLagging;
  return result;
}

command_result ReportFlows(blocking_store& store, const page_fetcher& fetch) {
  failure why;
  const auto polled = ReadRostersAndFetchStatuses(store, fetch, why);
  if (!polled) return MakeFailureResult(why);
  command_result result;
  pool_sums sums;
  uint64_t open = 0;
  uint64_t queued = 0;
  size_t responded = 0;
  for (const polled_balancer& b : *polled) {
    if (!b.status) continue;
    ++responded;
    open += b.status->open_flows;
    queued += b.status->queued_flows;
    AddOwnedPools(*b.status, sums);
  }
  result.json = {{"open", open},
                 {"queued", queued},
                 {"answered", responded},
                 {"balancers", polled->size()}};
  result.text = "flows: open " + std::to_string(open) + ", queued " +
                std::to_string(queued) + ", from " + std::to_string(responded) +
                " of " + std::to_string(polled->size()) + " balancers\n";
  AddPoolSums(sums, result);
  return result;
}

}  // namespace radishyard
