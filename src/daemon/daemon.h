// The daemon: control thread, traffic threads and admin pages wired together.
#pragma once
#include <memory>
#include <vector>

#include "admin/admin_server.h"
#include "control/controller.h"
#include "daemon/counting_store.h"
#include "observe/trace.h"
#include "traffic/traffic_thread_group.h"

namespace radishyard {

/// \brief One running balancer. Run() returns after a graceful shutdown.
class daemon {
 public:
  daemon(const settings& config, uint64_t incarnation);

  /// \brief Serves until SIGTERM or SIGINT, then hands over and returns.
  void Run();

 private:
  void TakeReports(const std::vector<traffic_report>& reports);
  void OnSignal();
  void EndAtNextSignal();
  void Shutdown();
  void OpenTraces();
  admin_page StatusPage() const;
  admin_page MetricsPage() const;

  settings config_;
  asio::io_context io_;
  asio::signal_set signals_;
  counting_store store_;
  std::unique_ptr<trace_writer> traces_;  // Null where nothing is traced.
  traffic_thread_group traffic_;
  controller controller_;
  std::unique_ptr<admin_server> admin_;
};

}  // namespace radishyard
