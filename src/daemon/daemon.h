// The balancer daemon: it runs the control thread, the traffic threads and the
// admin server.
#pragma once
#include <memory>
#include <vector>

#include "admin/admin_server.h"
#include "control/controller.h"
#include "daemon/counting_store.h"
#include "observe/trace.h"
#include "traffic/traffic_thread_group.h"

namespace radishyard {

/// \brief One balancer process. Its control thread is the thread that calls
/// Run().
class daemon {
 public:
  /// \param incarnation number of this run, higher than that of any earlier run
  /// of the same name.
  daemon(const settings& config, uint64_t incarnation);

  /// \brief Serves until SIGTERM or SIGINT, then hands the pools and their
  /// flows over to other balancers and returns. A second signal skips the rest
  /// of the handover.
  void Run();

 private:
  void ApplyReports(const std::vector<traffic_report>& reports);
  void ShutDownAtFirstSignal();
  void StopAtNextSignal();
  void ShutDown();
  void OpenTraceFile();
  admin_page BuildStatusPage() const;
  admin_page BuildMetricsPage() const;

  settings config_;
  asio::io_context io_;
  asio::signal_set signals_;
  counting_store store_;
  std::unique_ptr<trace_writer> traces_;  // Null if there is no trace file.
  traffic_thread_group traffic_;
  controller controller_;
  std::unique_ptr<admin_server> admin_;
};

}  // namespace radishyard
