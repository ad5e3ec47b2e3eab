// A bound on log lines per event and second, so that no load can make logging
// the work of a process.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief Most lines of one event in a second.
inline constexpr uint32_t kLinesPerSecond = 50;

/// \brief Lines of one event that were left out.
struct suppressed_lines {
  std::string event;
  uint64_t lines = 0;
  auto operator<=>(const suppressed_lines&) const = default;
};

/// \brief Lines of the current second by event.
struct log_budget {
  struct spent {
    uint32_t written = 0;
    uint64_t suppressed = 0;
  };
  uint32_t lines_per_second = kLinesPerSecond;
  time_point second{};  ///< Begin of the current one.
  std::map<std::string, spent, std::less<>> events;
};

/// \brief Begins a new second if the current one is over.
/// \returns what was left out in the old one.
std::vector<suppressed_lines> Renew(log_budget& budget, time_point now);

/// \brief Whether a line of `event` may be written in the current second; else
/// it counts as left out.
bool Admit(log_budget& budget, std::string_view event);

}  // namespace radishyard
