// The HTTP server of the admin pages, such as status and metrics. It runs on
// the control thread.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/asio.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief The response to a request for a page.
struct admin_page {
  std::string media_type;
  std::string body;
  unsigned status = 200;  ///< HTTP status code.
};

/// \brief Serves GET requests: calls the function of the requested path and
/// sends the page that it returns. Other methods get status 405, other paths
/// 404.
///
/// \code
/// admin_server admin(io, {0x7f000001, 9200},
///                    {{"/status", [&] { return BuildStatusPage(); }}});
/// \endcode
class admin_server {
 public:
  using page_map = std::map<std::string, std::function<admin_page()>>;

  /// \brief Starts to listen on `listen`. Throws if the address is not
  /// available.
  admin_server(asio::io_context& io, const endpoint& listen, page_map pages);
  ~admin_server();

 private:
  class listener;
  std::shared_ptr<listener> listener_;
};

}  // namespace radishyard
