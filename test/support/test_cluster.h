// Runs balancers and everything around them as processes on loopback: the
// platform, the fabric, the upstreams, the callers and one daemon per balancer.
#pragma once
#include <deque>
#include <iosfwd>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"
#include "support/process.h"
#include "support/stand_in_process.h"

namespace radishyard {

/// \brief Name, failure domain and size of a balancer.
struct balancer_spec {
  std::string name;
  std::string domain;  ///< Failure domain.
  uint32_t size = 1;   ///< Setting "size".
};

/// \brief The seven balancers in three failure domains that the process tests
/// use.
std::vector<balancer_spec> ArmorBalancers();

/// \brief A daemon process with its settings file and its ports.
class balancer {
 public:
  balancer(const balancer_spec& spec, std::string folder);

  /// \brief Writes the settings file: `shared` and the fields of this balancer.
  void WriteSettings(const nlohmann::json& shared) const;
  void Start();
  /// \brief Sends SIGTERM and waits; kills the process after `timeout`.
  /// \returns true if it ended with exit code 0 in time.
  bool Stop(duration timeout);
  /// \brief Kills the process by SIGKILL.
  void Kill();
  /// \brief Stops the process by SIGSTOP until Resume().
  void Pause();
  void Resume();

  bool is_running() const { return child_ != nullptr; }
  bool is_paused() const { return is_paused_; }
  const std::string& name() const { return spec_.name; }
  const std::string& domain() const { return spec_.domain; }
  std::string data() const { return ToString(data_); }
  std::string control() const { return ToString(control_); }
  std::string admin() const { return ToString(admin_); }
  /// \brief The page /status; null if there is no response.
  nlohmann::json Status() const;
  /// \brief The output since the last Start().
  std::string Log() const;

 private:
  std::string SettingsFile() const { return folder_ + "/" + name() + ".json"; }

  balancer_spec spec_;
  std::string folder_;
  endpoint data_;
  endpoint control_;
  endpoint admin_;
  bool is_paused_ = false;
  int start_count_ = 0;  ///< Each start writes its own log file.
  std::unique_ptr<process> child_;
};

/// \brief Counts of all flows and violations, over all runs of the callers and
/// all upstreams. \sa upstream_record for the kinds of violations.
struct traffic_results {
  int64_t completed = 0;
  int64_t refused = 0;
  int64_t broken = 0;
  int64_t wrong = 0;
  int64_t timeouts = 0;
  int64_t alive = 0;  ///< Feeds open now.
  int64_t doubled = 0;
  int64_t crossed = 0;
  int64_t on_two = 0;
  int64_t over_slots = 0;
  int64_t over_connections = 0;
  int64_t refused_but_ran = 0;  ///< Refused, although executed.
  std::string details;          ///< Reports and examples for failure messages.
  /// \brief True if no flow was broken, timed out or got a wrong response, and
  /// no guarantee was violated. Refused flows are permitted.
  bool HasNoViolations() const;
};
std::ostream& operator<<(std::ostream& out, const traffic_results& v);

/// \brief Exit code and output of radishyardctl.
struct ctl_result {
  int code = 0;  ///< -1 if it did not end in time.
  std::string output;
};

/// \brief Starts all processes, and ends them on destruction.
///
/// \code
/// test_cluster w(ArmorBalancers());
/// ASSERT_EQ(w.ApplyTables({"examples/armor/survey-link.json"}).code, 0);
/// ASSERT_TRUE(w.WaitUntilInForce(10s));
/// w.callers().SendCommand({{"cmd", "run"}, ...});
/// EXPECT_TRUE(w.CollectResults().HasNoViolations()) << w.CollectResults();
/// \endcode
class test_cluster {
 public:
  /// \param seed of the random choices of the fabric.
  /// \param settings JSON fields to add to the settings of every daemon.
  explicit test_cluster(
      const std::vector<balancer_spec>& balancers, uint32_t seed = 1,
      const nlohmann::json& settings = nlohmann::json::object());

  stand_in_process& fabric() { return fabric_; }
  stand_in_process& upstreams() { return upstreams_; }
  stand_in_process& callers() { return callers_; }
  std::deque<balancer>& balancers() { return balancers_; }
  balancer& Balancer(const std::string& name);
  /// \brief Starts another balancer. The fabric sends packets to it after
  /// SetFabricBalancers().
  balancer& Add(const balancer_spec& spec);

  /// \brief Runs radishyardctl against the platform.
  ctl_result RunCtl(std::vector<std::string> arguments);
  /// \brief Applies table files, after setting their limits at the upstreams.
  ctl_result ApplyTables(const std::vector<std::string>& files);
  /// \brief Sets the limits of a table file at the upstream stand-in, which
  /// reports when they are exceeded.
  void SetUpstreamLimits(const std::string& file);
  /// \brief Waits until every running balancer has the service versions of the
  /// platform, and every pool has exactly one owner with a lease.
  bool WaitUntilInForce(duration timeout);
  /// \brief Waits until no running balancer reports a connection or slot in
  /// use, in counts that are newer than the call.
  /// \returns the pools that are still in use, one per line; empty on success.
  std::string WaitUntilIdle(duration timeout);
  /// \brief Makes the fabric distribute packets over the running balancers,
  /// except the balancer `without`.
  void SetFabricBalancers(const std::string& without = "");

  /// \brief Sends a POST request to an admin page of the platform, such as
  /// "/admin/fault".
  /// \returns true if the response has status 200.
  bool PostToPlatform(const std::string& page, const nlohmann::json& body);
  /// \brief Gets a page of the platform; null if there is no response.
  nlohmann::json GetPlatformPage(const std::string& page);

  /// \brief Collects the counts of callers and upstreams.
  traffic_results CollectResults();

 private:
  bool IsInForce();
  std::string ListPoolsInUse(time_point since);

  std::string folder_ = MakeTestFolder();
  process platform_;
  endpoint platform_endpoint_;
  stand_in_process fabric_;
  stand_in_process upstreams_;
  stand_in_process callers_;
  nlohmann::json settings_;         ///< Shared by all daemons.
  std::deque<balancer> balancers_;  ///< A deque, since tests keep references.
  int ctl_run_count_ = 0;
};

}  // namespace radishyard
