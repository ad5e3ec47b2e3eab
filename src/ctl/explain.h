// From the id of a flow to the cause of its failure, by collected logs alone.
#pragma once
#include <string>
#include <vector>

#include "ctl/command_result.h"
#include "ctl/log_lines.h"

namespace radishyard {

/// \brief What the logs tell of a flow.
struct flow_explanation {
  std::string cause;  ///< One sentence.
  std::vector<std::string>
      upstreams;                ///< That the flow was placed on, in order.
  std::vector<log_line> lines;  ///< Of the flow, its upstreams and balancers.
};

/// \brief Explains a flow. \param flow its id as logged, or the caller's
/// ADDRESS:PORT alone. \param lines of all balancers, in any order.
flow_explanation ExplainFlow(const std::string& flow,
                             std::vector<log_line> lines);

/// \brief The command: reads `files` and explains `flow`.
command_result Explain(const std::string& flow,
                       const std::vector<std::string>& files);

}  // namespace radishyard
