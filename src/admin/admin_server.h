// The admin pages: a small HTTP server on the control thread.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/asio.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief The text of a page and its media type.
struct admin_page {
  std::string media_type;
  std::string body;
  unsigned status = 200;  ///< Of HTTP.
};

/// \brief Answers GET requests from a map of paths to functions.
///
/// \code
/// admin_server admin(io, {0x7f000001, 9200}, {{"/status", [&] { return
/// StatusPage(); }}}); \endcode
class admin_server {
 public:
  using page_map = std::map<std::string, std::function<admin_page()>>;

  admin_server(asio::io_context& io, const endpoint& listen, page_map pages);
  ~admin_server();

 private:
  class listener;
  std::shared_ptr<listener> listener_;
};

}  // namespace radishyard
