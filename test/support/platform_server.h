// HTTP server of the platform stand-in. It serves a fake_platform with one
// fake_store per client name, and admin pages that switch faults and report
// calls.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/asio.h"
#include "support/fake_store.h"

namespace radishyard {

/// \brief Serves the platform on 127.0.0.1. It must live as long as `io` runs.
///
/// `POST /admin/fault {"mode":"slow","delay_ms":50,"count":0,"client":"vm-1"}`
/// sets the fault of one client, or of all clients if "client" is missing.
/// `POST /admin/vms [{"name","leaving"}]` sets the list of VMs, and `GET
/// /admin/calls` returns the number of calls by client and kind.
class platform_server {
 public:
  platform_server(asio::io_context& io, uint16_t port);

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  fake_platform& platform() { return platform_; }
  /// \brief The store that serves the calls of the client `name`; created on
  /// first use.
  fake_store& Client(const std::string& name);
  /// \brief Sets the fault of all clients, including those that connect later.
  void SetFault(const store_fault& fault);
  /// \brief Number of connections accepted since the start.
  size_t connections_accepted() const { return connection_closers_.size(); }
  /// \brief Closes every connection, as a restart of the platform does.
  void CloseConnections();
  /// \brief Formats the body of /admin/calls.
  std::string FormatCalls() const;

 private:
  void Accept();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  fake_platform platform_;
  store_fault fault_;
  std::vector<std::function<void()>>
      connection_closers_;  ///< One per connection.
  std::map<std::string, std::unique_ptr<fake_store>> clients_;
};

}  // namespace radishyard
