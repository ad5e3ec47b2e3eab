// The platform stand-in's HTTP face: serves a fake_platform, one fake_store per
// client name, and the pages that switch faults and tell the calls.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/asio.h"
#include "support/fake_store.h"

namespace radishyard {

/// \brief Serves on 127.0.0.1. It outlives the running of `io`.
///
/// `POST /admin/fault {"mode":"slow","delay_ms":50,"count":0,"client":"vm-1"}`
/// switches the fault of one client, or of all without "client".
/// `POST /admin/vms [{"name","leaving"}]` sets the list of VMs, and
/// `GET /admin/calls` tells the calls by client and kind.
class platform_server {
 public:
  platform_server(asio::io_context& io, uint16_t port);

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  fake_platform& platform() { return platform_; }
  /// \brief The store that serves the calls of the client of this name.
  fake_store& Client(const std::string& name);
  /// \brief Switches the fault of every client, also of later ones.
  void SetFault(const store_fault& fault);
  /// \brief Connections accepted since the start.
  size_t connections_accepted() const { return closers_.size(); }
  /// \brief Closes every connection, as a restart of the platform does.
  void CloseConnections();
  /// \brief The body of /admin/calls.
  std::string CallsText() const;

 private:
  void Accept();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  fake_platform platform_;
  store_fault fault_;
  std::vector<std::function<void()>> closers_;  ///< One per connection.
  std::map<std::string, std::unique_ptr<fake_store>> clients_;
};

}  // namespace radishyard
