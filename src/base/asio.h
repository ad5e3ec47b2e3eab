// Boost.Asio, preceded by <utility>, which Boost 1.74 leaves out under C++20.
#pragma once
#include <utility>
// The order of these two blocks matters.
#include <boost/asio.hpp>

namespace radishyard {

namespace asio = boost::asio;
using boost::system::error_code;

}  // namespace radishyard
