// HTTP requests that tests send to the admin pages of balancers and to the
// platform.
#pragma once
#include <optional>
#include <string>

#include "base/failure.h"
#include "packet/flow_key.h"

namespace radishyard {

struct http_response {
  unsigned status = 0;
  std::string body;
};

/// \brief Sends one request over a connection of its own.
/// \returns the response; nothing, with the reason in `why`, on an error or
/// after 10 s.
std::optional<http_response> HttpGet(const endpoint& at,
                                     const std::string& path, failure& why);
std::optional<http_response> HttpPost(const endpoint& at,
                                      const std::string& path,
                                      const std::string& body, failure& why);

}  // namespace radishyard
