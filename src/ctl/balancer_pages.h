// Fetching the status pages of balancers over HTTP.
#pragma once
#include <vector>

#include "base/asio.h"
#include "base/time.h"
#include "ctl/status_commands.h"

namespace radishyard {

/// \brief Fetches GET /status of all `addresses` at once, and waits at most
/// `timeout` for them together.
std::vector<balancer_page> FetchStatusPages(
    asio::io_context& io, const std::vector<endpoint>& addresses,
    duration timeout);

}  // namespace radishyard
