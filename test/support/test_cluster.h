// The world around and with the balancers, as processes on loopback: platform,
// fabric, upstreams, callers, and the daemons between them.
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

/// \brief A balancer's VM.
struct balancer_spec {
  std::string name;
  std::string domain;  ///< Failure domain.
  uint32_t size = 1;
};

/// \brief The seven balancers of three domains that the process tests use.
std::vector<balancer_spec> ArmorBalancers();

/// \brief One daemon with its settings file and its ports.
class balancer {
 public:
  balancer(const balancer_spec& spec, std::string folder);

  void WriteSettings(const nlohmann::json& shared) const;
  void Start();
  /// \brief SIGTERM. \returns true if it ended by itself with 0 in time.
  bool Stop(duration timeout);
  void Kill();
  void Freeze();
  void Thaw();

  bool is_running() const { return child_ != nullptr; }
  bool is_frozen() const { return is_frozen_; }
  const std::string& name() const { return spec_.name; }
  const std::string& domain() const { return spec_.domain; }
  std::string data() const { return ToString(data_); }
  std::string control() const { return ToString(control_); }
  std::string admin() const { return ToString(admin_); }
  /// \brief The page /status; null where it does not answer.
  nlohmann::json Status() const;
  std::string Log() const;

 private:
  std::string SettingsFile() const { return folder_ + "/" + name() + ".json"; }

  balancer_spec spec_;
  std::string folder_;
  endpoint data_;
  endpoint control_;
  endpoint admin_;
  bool is_frozen_ = false;
  int starts_ = 0;  ///< Each run has a log of its own.
  std::unique_ptr<process> child_;
};

/// \brief All counts that a promise is about, over all runs and upstreams.
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
  int64_t refused_but_ran = 0;
  std::string details;  ///< Examples, for a failing test's message.
  /// \brief No flow broken or answered wrongly, no promise violated.
  bool HasNoViolations() const;
};
std::ostream& operator<<(std::ostream& out, const traffic_results& v);

/// \brief How radishyardctl ended.
struct ctl_result {
  int code = 0;
  std::string output;
};

/// \brief Starts everything, and ends it on destruction.
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
  /// \param settings JSON fields to add to every daemon's settings.
  explicit test_cluster(
      const std::vector<balancer_spec>& balancers, uint32_t seed = 1,
      const nlohmann::json& settings = nlohmann::json::object());

  stand_in_process& fabric() { return fabric_; }
  stand_in_process& upstreams() { return upstreams_; }
  stand_in_process& callers() { return callers_; }
  std::deque<balancer>& balancers() { return balancers_; }
  balancer& Balancer(const std::string& name);
  /// \brief Starts one more balancer. \sa SetFabricBalancers()
  balancer& Add(const balancer_spec& spec);

  /// \brief Runs radishyardctl against the platform.
  ctl_result RunCtl(std::vector<std::string> arguments);
  /// \brief Applies table files, and tells their limits to the upstreams.
  ctl_result ApplyTables(const std::vector<std::string>& files);
  /// \brief Tells a table file's limits to the upstreams.
  void SetLimits(const std::string& file);
  /// \brief Waits until every balancer that runs has the versions that the
  /// platform has, and every pool has one owner.
  bool WaitUntilInForce(duration timeout);
  /// \brief Waits until no balancer counts a connection or a slot in use, by
  /// figures that were all taken after the call.
  /// \returns the pools that still do, one a line; empty where all is well.
  std::string WaitUntilIdle(duration timeout);
  /// \brief Has the fabric spray over the balancers that run, but one.
  void SetFabricBalancers(const std::string& without = "");

  /// \brief POST to an admin page of the platform, such as "/admin/fault".
  bool Platform(const std::string& page, const nlohmann::json& body);
  /// \brief GET of a page of the platform; null where it does not answer.
  nlohmann::json PlatformPage(const std::string& page);

  traffic_results CollectResults();

 private:
  bool IsInForce();
  std::string BusyPools(time_point since);

  std::string folder_ = MakeTestFolder();
  process platform_;
  endpoint platform_at_;
  stand_in_process fabric_;
  stand_in_process upstreams_;
  stand_in_process callers_;
  nlohmann::json settings_;         ///< Common to all daemons.
  std::deque<balancer> balancers_;  ///< Never moved: tests keep references.
  int ctl_runs_ = 0;
};

}  // namespace radishyard
