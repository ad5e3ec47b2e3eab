// The text that callers and upstreams exchange: one request line, and an answer
// whose every line names the request, so that a wrong, doubled or partial
// answer shows.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace radishyard {

/// \brief One request, or the opening line of a feed.
struct request {
  std::string id;  ///< Unique over all flows of all runs.
  std::string service;
  uint32_t service_ms = 0;
  uint32_t bytes = 0;      ///< Size of the answer.
  uint32_t parts = 1;      ///< Datagrams of a UDP answer.
  uint32_t push_ms = 0;    ///< Above 0: a feed that pushes a line so often.
  bool idempotent = true;  ///< False: counted as doubled if it runs twice.
  bool operator==(const request&) const = default;
};

/// \brief The request's line, such as "id=1.7 service=archive ms=5
/// bytes=800\n".
std::string ToRequestLine(const request& r);

/// \brief Parses what ToRequestLine() wrote, with or without the line's end.
std::optional<request> ParseRequest(const std::string& line);

/// \brief The answer of `upstream` to `r`: lines that begin with id, service
/// and upstream, `r.bytes` in total but at least one line.
std::string MakeResponse(const request& r, const std::string& upstream);

/// \brief Line `seq` of a feed; an echo of the caller's line follows in `echo`.
std::string MakeFeedLine(const request& r, const std::string& upstream,
                         uint64_t seq, const std::string& echo);

/// \brief The value of "key=" in a line; empty if there is none.
std::string GetField(const std::string& line, const std::string& key);

/// \brief True where `answer` is byte for byte what one upstream answers to
/// `r`.
bool IsCompleteResponse(const request& r, const std::string& answer);

}  // namespace radishyard
