// Settings files are written to the folder of the test. Whether a table is in
// force is read from the admin pages of the balancers.
#include "support/test_cluster.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <ostream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "support/free_port.h"
#include "support/http_client.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr uint32_t kLoopback = 0x7f000001;
constexpr auto kStartTimeout = 10s;
constexpr auto kPollInterval = 50ms;
constexpr auto kCtlTimeout = 30s;

json GetJson(const endpoint& at, const std::string& path) {
  failure why;
  const auto response = HttpGet(at, path, why);
  if (!response || response->status != 200) return nullptr;
  return json::parse(response->body, nullptr, false);
}

json ToJson(const endpoint& e) {
  return {{"address", ToDottedAddress(e.address)}, {"port", e.port}};
}

endpoint WaitForPlatform(const process& platform) {
  const auto line = platform.WaitForLine("platform listening", kStartTimeout);
  if (!line)
    throw std::runtime_error("platform did not start: " + platform.Output());
  return {kLoopback, NumberAfter(*line, "port=")};
}

bool WaitFor(const std::function<bool()>& holds, duration timeout) {
  const time_point until = std::chrono::steady_clock::now() + timeout;
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// Returns "service domain" for each pool that has an upstream in the tables.
std::set<std::string> ListPools(const json& objects) {
  std::set<std::string> pools;
  for (const json& object : objects) {
    const json row = json::parse(object["value"].get<std::string>());
    for (const json& up : row.value("upstreams", json::array()))
      pools.insert(row["service"].get<std::string>() + " " +
                   up["domain"].get<std::string>());
  }
  return pools;
}

}  // namespace

std::vector<balancer_spec> ArmorBalancers() {
  return {{"rennes-1", "rennes"},   {"rennes-2", "rennes"},
          {"rennes-3", "rennes"},   {"quimper-1", "quimper"},
          {"quimper-2", "quimper"}, {"vannes-1", "vannes"},
          {"vannes-2", "vannes"}};
}

balancer::balancer(const balancer_spec& spec, std::string folder)
    : spec_(spec),
      folder_(std::move(folder)),
      data_{kLoopback, FindFreePort()},
      control_{kLoopback, FindFreePort()},
      admin_{kLoopback, FindFreePort()} {}

void balancer::WriteSettings(const json& shared) const {
  json settings = shared;
  settings["name"] = spec_.name;
  settings["domain"] = spec_.domain;
  settings["size"] = spec_.size;
  settings["data"] = ToJson(data_);
  settings["control"] = ToJson(control_);
  settings["admin"] = ToJson(admin_);
  std::ofstream(SettingsFile()) << settings.dump(2) << "\n";
}

void balancer::Start() {
  const std::string run = std::to_string(++start_count_);
  child_ = std::make_unique<process>(
      BinaryPath("radishyardd"),
      std::vector<std::string>{"--settings", SettingsFile()},
      folder_ + "/" + name() + "." + run + ".log");
  is_paused_ = false;
}

bool balancer::Stop(duration timeout) {
  if (!child_) return false;
  child_->SendSignal(SIGTERM);
  const bool is_clean = child_->Wait(timeout) == 0;
  child_.reset();
  return is_clean;
}

void balancer::Kill() { child_.reset(); }

void balancer::Pause() {
  if (child_) child_->SendSignal(SIGSTOP);
  is_paused_ = true;
}

void balancer::Resume() {
  if (child_) child_->SendSignal(SIGCONT);
  is_paused_ = false;
}

json balancer::Status() const { return GetJson(admin_, "/status"); }

std::string balancer::Log() const {
  std::ostringstream text;
  text << std::ifstream(folder_ + "/" + name() + "." +
                        std::to_string(start_count_) + ".log")
              .rdbuf();
  return text.str();
}

bool traffic_results::HasNoViolations() const {
  return broken + wrong + timeouts + doubled + crossed + on_two + over_slots +
             over_connections + refused_but_ran ==
         0;
}

std::ostream& operator<<(std::ostream& out, const traffic_results& v) {
  return out << "completed=" << v.completed << " refused=" << v.refused
             << " broken=" << v.broken << " wrong=" << v.wrong
             << " timeouts=" << v.timeouts << " alive=" << v.alive
             << " doubled=" << v.doubled << " crossed=" << v.crossed
             << " on_two=" << v.on_two << " over_slots=" << v.over_slots
             << " over_connections=" << v.over_connections
             << " refused_but_ran=" << v.refused_but_ran << "\n"
             << v.details;
}

test_cluster::test_cluster(const std::vector<balancer_spec>& balancers,
                           uint32_t seed, const json& settings)
    : platform_(BinaryPath("platform"), {}, folder_ + "/platform.log"),
      platform_endpoint_(WaitForPlatform(platform_)),
      fabric_("fabric", {"--seed", std::to_string(seed)}, folder_),
      upstreams_("upstreams", {"--fabric", fabric_.data()}, folder_),
      callers_("callers", {"--fabric", fabric_.data()}, folder_) {
  settings_ = {{"fabric", {fabric_.data()}},
               {"platform", ToString(platform_endpoint_)},
               {"peers", json::array()}};
  std::set<std::string> domains;
  for (const balancer_spec& spec : balancers) domains.insert(spec.domain);
  settings_["domains"] = domains;
  settings_.update(settings);
  for (const balancer_spec& spec : balancers) Add(spec);
  fabric_.SendCommand({{"cmd", "edges"},
                       {"callers", callers_.data()},
                       {"upstreams", upstreams_.data()}});
  SetFabricBalancers();
}

// The settings of a balancer name the balancers added before it as peers; it
// gets the others from the rosters.
balancer& test_cluster::Add(const balancer_spec& spec) {
  balancer& added = balancers_.emplace_back(spec, folder_);
  added.WriteSettings(settings_);
  added.Start();
  settings_["peers"].push_back(added.control());
  return added;
}

balancer& test_cluster::Balancer(const std::string& name) {
  for (balancer& b : balancers_)
    if (b.name() == name) return b;
  throw std::invalid_argument("no balancer " + name);
}

void test_cluster::SetFabricBalancers(const std::string& without) {
  json list = json::array();
  for (const balancer& b : balancers_)
    if (b.is_running() && b.name() != without) list.push_back(b.data());
  fabric_.SendCommand({{"cmd", "balancers"}, {"list", list}});
}

ctl_result test_cluster::RunCtl(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(),
                   {"--platform", ToString(platform_endpoint_)});
  process tool(BinaryPath("radishyardctl"), arguments,
               folder_ + "/ctl." + std::to_string(++ctl_run_count_) + ".log");
  const std::optional<int> code = tool.Wait(kCtlTimeout);
  return {code.value_or(-1), tool.Output()};
}

ctl_result test_cluster::ApplyTables(const std::vector<std::string>& files) {
  std::vector<std::string> arguments = {"apply"};
  for (const std::string& file : files) {
    SetUpstreamLimits(file);
    arguments.insert(arguments.end(), {"-f", file});
  }
  return RunCtl(arguments);
}

void test_cluster::SetUpstreamLimits(const std::string& file) {
  const json table = json::parse(std::ifstream(file));
  json ports = json::array();
  for (const json& port : table["ports"])
    ports.push_back(port.value("upstream_port", port["port"].get<int>()));
  json rows = json::array();
  for (const json& up : table["upstreams"])
    rows.push_back({{"address", up["address"]},
                    {"service", table["service"]},
                    {"slots", up["slots"]},
                    {"connections", up["connections"]},
                    {"ports", ports}});
  upstreams_.SendCommand({{"cmd", "limits"}, {"rows", rows}});
}

bool test_cluster::WaitUntilInForce(duration timeout) {
  return WaitFor([this] { return IsInForce(); }, timeout);
}

std::string test_cluster::WaitUntilIdle(duration timeout) {
  const time_point since = std::chrono::steady_clock::now();
  WaitFor([this, since] { return ListPoolsInUse(since).empty(); }, timeout);
  return ListPoolsInUse(since);
}

std::string test_cluster::ListPoolsInUse(time_point since) {
  std::string in_use;
  for (const balancer& b : balancers_) {
    if (!b.is_running() || b.is_paused()) continue;
    const time_point requested_at = std::chrono::steady_clock::now();
    const json status = b.Status();
    if (!status.is_object()) return b.name() + " has no status page\n";
    const int64_t max_age_ms = ToMs(requested_at - since);
    for (const json& thread : status["threads"])
      if (thread["age_ms"].get<int64_t>() > max_age_ms)
        in_use += b.name() + " has only counts from before the call\n";
    for (const json& pool : status["pools"])
      if (pool["connections"] != 0 || pool["slots"] != 0)
        in_use += b.name() + " " + pool.dump() + "\n";
  }
  return in_use;
}

bool test_cluster::IsInForce() {
  const json objects = GetPlatformPage("/v1/objects?prefix=services/");
  if (!objects.is_object()) return false;
  std::multiset<std::string> owned;
  for (const balancer& b : balancers_) {
    if (!b.is_running() || b.is_paused()) continue;
    const json status = b.Status();
    if (!status.is_object()) return false;
    for (const json& object : objects["objects"]) {
      const std::string name = object["key"].get<std::string>().substr(9);
      if (!status["services"].contains(name) ||
          status["services"][name]["version"] != object["version"])
        return false;
    }
    for (const json& pool : status["pools"]) {
      if (pool["lease_ms"] == 0)
        return false;  // A new owner still has no lease.
      owned.insert(pool["service"].get<std::string>() + " " +
                   pool["domain"].get<std::string>());
    }
  }
  const std::set<std::string> pools = ListPools(objects["objects"]);
  return owned == std::multiset<std::string>(pools.begin(), pools.end());
}

bool test_cluster::PostToPlatform(const std::string& page, const json& body) {
  failure why;
  const auto response = HttpPost(platform_endpoint_, page, body.dump(), why);
  return response && response->status == 200;
}

json test_cluster::GetPlatformPage(const std::string& page) {
  return GetJson(platform_endpoint_, page);
}

traffic_results test_cluster::CollectResults() {
  traffic_results v;
  const json callers = callers_.SendCommand({{"cmd", "report"}});
  for (const json& run : callers["runs"]) {
    v.completed += run["completed"].get<int64_t>();
    v.refused += run["refused"].get<int64_t>();
    v.broken += run["broken"].get<int64_t>();
    v.wrong += run["wrong"].get<int64_t>();
    v.timeouts += run["timeouts"].get<int64_t>();
    v.alive += run["alive"].get<int64_t>();
    v.details += run.dump() + "\n";
  }
  const json report = upstreams_.SendCommand({{"cmd", "report"}});
  const auto count = [&](const char* kind) {
    v.details += std::string(kind) + " " + report[kind].dump() + "\n";
    return report[kind]["count"].get<int64_t>();
  };
  v.doubled = count("doubled");
  v.crossed = count("crossed");
  v.on_two = count("on_two");
  v.over_slots = count("over_slots");
  v.over_connections = count("over_connections");
  json ran = callers_.SendCommand({{"cmd", "refused"}});
  ran["cmd"] = "ran";
  ran = upstreams_.SendCommand(ran)["ran"];
  v.refused_but_ran = static_cast<int64_t>(ran.size());
  v.details += "refused_but_ran " + ran.dump() + "\n";
  return v;
}

}  // namespace radishyard
