// Fetches the status pages concurrently, with one HTTP client per balancer.
#include "ctl/balancer_pages.h"

#include <memory>

#include "store/http_client.h"

namespace radishyard {
namespace {

using internal::http_client;
using internal::http_result;

constexpr unsigned kHttpOk = 200;

balancer_page ToPage(const http_result& result) {
  if (!result.response) return {std::nullopt, result.reason};
  if (result.response->status == kHttpOk) return {result.response->body, ""};
  return {std::nullopt, "responded with HTTP status " +
                            std::to_string(result.response->status)};
}

}  // namespace

std::vector<balancer_page> FetchStatusPages(
    asio::io_context& io, const std::vector<endpoint>& addresses,
    duration timeout) {
  std::vector<balancer_page> pages(
      addresses.size(), {std::nullopt, "no response before the timeout"});
  std::vector<std::unique_ptr<http_client>> clients;
  size_t pending = addresses.size();
  for (size_t i = 0; i < addresses.size(); ++i) {
    clients.push_back(std::make_unique<http_client>(io, addresses[i], timeout));
    clients.back()->Send({.target = "/status"},
                         [&pages, &pending, i](const http_result& result) {
                           pages[i] = ToPage(result);
                           --pending;
                         });
  }
  io.restart();
  while (pending > 0 && io.run_one() > 0) {
  }
  return pages;
}

}  // namespace radishyard
