// Includes Boost.Asio and defines short names for it. <utility> must come
// first, because Boost 1.74 does not include it itself under C++20.
#pragma once
#include <utility>
// A separate block, so that clang-format keeps the order.
#include <boost/asio.hpp>

namespace radishyard {

namespace asio = boost::asio;
using boost::system::error_code;

}  // namespace radishyard
