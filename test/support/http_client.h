// Functions with which tests send HTTP requests to the admin pages of balancers
// and to the platform, the store of the services.
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
std::optional<http_response> HttpGet(const endpoint& server,
                                     const std::string& path, failure& why);
/// \brief Same as HttpGet, for a POST request with `body`.
std::optional<http_response> HttpPost(const endpoint& server,
                                      const std::string& path,
                                      const std::string& body, failure& why);

}  // namespace radishyard
