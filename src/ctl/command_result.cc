// Builds the results that several commands have in common.
#include "ctl/command_result.h"

namespace radishyard {
namespace {

exit_code ToExitCode(failure_kind kind) {
  switch (kind) {
    case failure_kind::kUnavailable:
      return exit_code::kUnavailable;
    case failure_kind::kUnknown:
      return exit_code::kUnknown;
    case failure_kind::kInvalid:
      return exit_code::kFindings;
    default:
      return exit_code::kNotDone;
  }
}

}  // namespace

command_result MakeFailureResult(const failure& why) {
  return {ToExitCode(why.kind), why.text + "\n", {{"error", why.text}}};
}

command_result MakeFindingsResult(const findings& found) {
  nlohmann::json list = nlohmann::json::array();
  for (const finding& f : found.list())
    list.push_back({{"place", f.place}, {"reason", f.reason}});
  return {exit_code::kFindings, found.Text(), {{"findings", list}}};
}

}  // namespace radishyard
