// The settings of the daemon, which are read from a JSON file at its start.
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

/// \brief Lowest severity that is logged.
enum class log_level : uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// \brief What is logged, and to which file.
struct log_settings {
  log_level level = log_level::kInfo;
  std::string file = "-";  ///< "-" means standard output.
  auto operator<=>(const log_settings&) const = default;
};

/// \brief Which flows are traced, and to which file the spans are written.
struct trace_settings {
  uint32_t sample_one_in = 0;  ///< One of this many flows is traced; 0 traces
                               ///< no flow, 1 every flow.
  std::string file;            ///< In JSON lines; empty means no file.
  auto operator<=>(const trace_settings&) const = default;
};

/// \brief Time spans and bounds. Invariant: heartbeat_interval < lease <
/// takeover, so that a lease has expired on the clock of its owner before a
/// successor acts.
struct limit_settings {
  duration heartbeat_interval = 250ms;  ///< Between heartbeats to each peer.
  duration lease = 1500ms;              ///< Validity of a pool owner's last
                                        ///< confirmation by successors or
                                        ///< store.
  duration takeover_wait = 2500ms;  ///< Wait of a new owner before it places
                                    ///< UDP requests that are not idempotent.
  uint32_t held_flows = 500'000;  ///< Maximum number of flows of this process.
  auto operator<=>(const limit_settings&) const = default;
};

/// \brief All settings of one balancer.
struct settings {
  std::string name;
  std::string domain;  ///< Failure domain.
  uint32_t size = 1;   ///< Relative capacity of the VM.
  endpoint data;       ///< First data port (UDP); thread i listens on port + i.
  uint16_t data_threads = 1;
  endpoint control;              ///< Peer protocol (TCP).
  endpoint admin;                ///< Status and metrics pages (HTTP).
  std::vector<endpoint> fabric;  ///< Endpoints of the fabric, to which
                                 ///< packets are sent (UDP).
  endpoint platform;             ///< The object store (HTTP).
  std::vector<endpoint> peers;   ///< Control endpoints of balancers from
                                 ///< which the table is requested at the start,
                                 ///< in case the platform is unavailable.
  std::vector<std::string> domains;  ///< All failure domains; if empty, those
                                     ///< that the table names.
  log_settings log;
  trace_settings trace;
  limit_settings limits;
  auto operator<=>(const settings&) const = default;
};

/// \brief Reads settings and reports all faults together.
///
/// \code
/// findings found;
/// const std::optional<settings> s = ParseSettings(text, found);
/// if (!s) std::cerr << found.Text();
/// \endcode
/// \returns the settings, or nothing if there are findings.
/// \sa docs/settings.md for units, defaults and bounds.
std::optional<settings> ParseSettings(std::string_view json, findings& found);

/// \brief Parses an endpoint such as "10.0.0.1:80".
/// \returns nothing if `text` is malformed or the port is 0.
std::optional<endpoint> ParseEndpoint(std::string_view text);

}  // namespace radishyard
