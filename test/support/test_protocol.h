// The text protocol between the stand-ins of callers and upstreams. A request
// is one line. Every full line of the response names the request and the
// upstream, so that a response of another request, a repeated one or a
// truncated one is detected.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace radishyard {

/// \brief A request, or the first line that the caller of a feed sends.
struct request {
  std::string id;  ///< Unique over all flows of all runs.
  std::string service;
  uint32_t service_ms = 0;  ///< Time that the upstream takes to execute it.
  uint32_t bytes = 0;       ///< Size of the response.
  uint32_t parts = 1;       ///< Datagrams of a UDP response.
  uint32_t push_ms = 0;     ///< Interval of a feed's lines; 0 if it is no feed.
  bool idempotent = true;   ///< False: a second execution is "doubled".
  bool operator==(const request&) const = default;
};

/// \brief Formats a request as a line such as "id=1.7 service=archive ms=5
/// bytes=800\n".
std::string ToRequestLine(const request& r);

/// \brief Parses the line of a request, with or without its newline.
/// \returns nothing if id or service is missing.
std::optional<request> ParseRequest(const std::string& line);

/// \brief The response of `upstream` to `r`: lines that begin with id, service
/// and upstream. It has `r.bytes` bytes, or more if that is less than the
/// beginning of one line.
std::string MakeResponse(const request& r, const std::string& upstream);

/// \brief Line `seq` that `upstream` sends on a feed. `echo` is the number of
/// the caller's line that it echoes; empty for a line that it pushes.
std::string MakeFeedLine(const request& r, const std::string& upstream,
                         uint64_t seq, const std::string& echo);

/// \brief The value after "key=" in a line; empty if the line has no such key.
std::string GetField(const std::string& line, const std::string& key);

/// \brief True if `response` equals, byte for byte, the response of a single
/// upstream to `r`.
bool IsCompleteResponse(const request& r, const std::string& response);

}  // namespace radishyard
