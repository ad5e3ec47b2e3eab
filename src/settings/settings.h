// Settings of the daemon, read once at its start from a JSON file.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/time.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief Least severity that is logged.
enum class log_level : uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// \brief Where and what to log.
struct log_settings {
  log_level level = log_level::kInfo;
  std::string file = "-";  ///< "-" is standard output.
  auto operator<=>(const log_settings&) const = default;
};

/// \brief Which flows are traced, and where spans are written.
struct trace_settings {
  uint32_t sample_one_in = 0;  ///< 0 traces no flow, 1 every flow.
  std::string file;            ///< JSON lines; empty means none.
  auto operator<=>(const trace_settings&) const = default;
};

/// \brief Time bounds and counts. Invariant:
/// heartbeat < lease < takeover, so that a lease has ended on its holder's
/// clock before a successor acts.
struct limit_settings {
  duration heartbeat = 250ms;  ///< Between heartbeats to each peer.
  duration lease = 1500ms;     ///< Validity of an owner's last confirmation.
  duration takeover_wait = 2500ms;  ///< Wait of a new owner before unsafe work.
  uint32_t held_flows = 500'000;    ///< Most flows held by this process.
  auto operator<=>(const limit_settings&) const = default;
};

/// \brief Everything that one balancer is told at its start.
struct settings {
  std::string name;
  std::string domain;  ///< Failure domain.
  uint32_t size = 1;   ///< Relative capacity of the VM.
  endpoint data;       ///< First data port (UDP); thread i has port + i.
  uint16_t data_threads = 1;
  endpoint control;                  ///< Heartbeats and peer exchange (TCP).
  endpoint admin;                    ///< Status and metrics pages (HTTP).
  std::vector<endpoint> fabric;      ///< Where packets leave for (UDP).
  endpoint platform;                 ///< The object store (HTTP).
  std::vector<endpoint> peers;       ///< Control addresses to ask for the table
                                     ///< where the platform is down at start.
  std::vector<std::string> domains;  ///< All failure domains; empty: only those
                                     ///< that the table names.
  log_settings log;
  trace_settings trace;
  limit_settings limits;
  auto operator<=>(const settings&) const = default;
};

/// \brief Reads settings and reports every fault together.
///
/// \code
/// findings found;
/// const std::optional<settings> s = ParseSettings(text, found);
/// if (!s) std::cerr << found.Text();
/// \endcode
/// \sa docs/settings.md for units, defaults and bounds.
std::optional<settings> ParseSettings(std::string_view json, findings& found);

/// \brief Parses "10.0.0.1:80"; nothing where the text is none or port 0.
std::optional<endpoint> ParseEndpoint(std::string_view text);

}  // namespace radishyard
