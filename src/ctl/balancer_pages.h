// Fetches the status pages of balancers over HTTP.
#pragma once
#include <vector>

#include "base/asio.h"
#include "base/time.h"
#include "ctl/status_commands.h"

namespace radishyard {

/// \brief Sends GET /status to all `addresses` at once and waits until each of
/// them has responded or its `timeout` has expired.
/// \returns one page per address, in the same order.
std::vector<balancer_page> FetchStatusPages(
    asio::io_context& io, const std::vector<endpoint>& addresses,
    duration timeout);

}  // namespace radishyard
