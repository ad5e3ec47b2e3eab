// The command `explain`: determines from the collected logs of the balancers
// what happened to a flow and, if it failed, why.
#pragma once
#include <string>
#include <vector>

#include "ctl/command_result.h"
#include "ctl/log_lines.h"

namespace radishyard {

/// \brief What the logs show about a flow.
struct flow_explanation {
  std::string cause;  ///< One sentence on what happened to the flow.
  /// Ids of the upstreams that the flow was placed on, in order of time.
  std::vector<std::string> upstreams;
  /// Log lines of the flow and, close to it in time, of its upstreams and
  /// balancers; in order of time.
  std::vector<log_line> lines;
};

/// \brief Explains a flow.
/// \param flow id of the flow as logged, or the caller's ADDRESS:PORT alone.
/// \param lines log lines of all balancers, in any order.
flow_explanation ExplainFlow(const std::string& flow,
                             std::vector<log_line> lines);

/// \brief Runs the command: reads the log files `files` and explains `flow`.
command_result Explain(const std::string& flow,
                       const std::vector<std::string>& files);

}  // namespace radishyard
