// The list of commands with their requirements on the command line.
#include "ctl/run_command.h"

#include <array>

#include "ctl/check_command.h"
#include "ctl/evacuation_commands.h"
#include "ctl/explain.h"
#include "ctl/service_commands.h"

namespace radishyard {
namespace {

using run_function = command_result (*)(const command_line&,
                                        const command_context&);

struct command_entry {
  const char* name;
  size_t min_arguments;
  size_t max_arguments;
  bool needs_files;
  bool needs_platform;
  run_function run;
};

constexpr size_t kUnlimitedArguments = 100'000;

command_result Usage(const std::string& text) {
  return {exit_code::kUsage,
          text + "; see radishyardctl --help\n",
          {{"error", text}}};
}

command_result RunValidate(const command_line& line, const command_context&) {
  return Validate(line.arguments);
}

command_result RunCheck(const command_line& line, const command_context& c) {
  if (line.against == kAgainstLive && !line.platform)
    return Usage("check --against live needs --platform ADDRESS:PORT");
  return CheckFiles(c.store, {line.arguments, line.against});
}

command_result RunDiff(const command_line& line, const command_context& c) {
  return DiffFiles(c.store, line.files);
}

command_result RunApply(const command_line& line, const command_context& c) {
  return ApplyFiles(c.store, {line.files, line.base, line.merge},
                    c.new_edit_id);
}

command_result RunGet(const command_line& line, const command_context& c) {
  if (line.arguments.empty()) return GetServices(c.store);
  return GetService(c.store, line.arguments[0]);
}

template <upstream_state kState>
command_result RunSetState(const command_line& line, const command_context& c) {
  return SetUpstreamState(c.store, line.arguments[0], line.arguments[1], kState,
                          c.new_edit_id);
}

command_result RunDelete(const command_line& line, const command_context& c) {
  return DeleteService(c.store, line.arguments[0], c.new_edit_id);
}

template <bool kEvacuated>
command_result RunSetEvacuation(const command_line& line,
                                const command_context& c) {
  return SetEvacuation(c.store, line.arguments[0], kEvacuated, c.new_edit_id);
}

// No service is named like the key of an evacuation, since its name has no '/'.
command_result RunSettle(const command_line& line, const command_context& c) {
  const std::string& name = line.arguments[1];
  if (name.starts_with(kEvacuationKeyPrefix)) {
    return SettleEvacuation(c.store, line.arguments[0],
                            name.substr(kEvacuationKeyPrefix.size()),
                            line.after);
  }
  return SettleEdit(c.store, line.arguments[0], line.arguments[1], line.after);
}

command_result RunStatus(const command_line&, const command_context& c) {
  return ReportStatus(c.store, c.fetch);
}

command_result RunFlows(const command_line&, const command_context& c) {
  return ReportFlows(c.store, c.fetch);
}

command_result RunExplain(const command_line& line, const command_context&) {
  return Explain(line.arguments[0], line.files);
}

constexpr std::array kCommands{
    command_entry{"validate", 1, kUnlimitedArguments, false, false,
                  RunValidate},
    command_entry{"check", 1, kUnlimitedArguments, false, false, RunCheck},
    command_entry{"diff", 0, 0, true, true, RunDiff},
    command_entry{"apply", 0, 0, true, true, RunApply},
    command_entry{"get", 0, 1, false, true, RunGet},
    command_entry{"drain", 2, 2, false, true,
                  RunSetState<upstream_state::kLeaving>},
    command_entry{"join", 2, 2, false, true,
                  RunSetState<upstream_state::kJoining>},
    command_entry{"activate", 2, 2, false, true,
                  RunSetState<upstream_state::kActive>},
    command_entry{"delete", 1, 1, false, true, RunDelete},
    command_entry{"evacuate", 1, 1, false, true, RunSetEvacuation<true>},
    command_entry{"restore", 1, 1, false, true, RunSetEvacuation<false>},
    command_entry{"settle", 2, 2, false, true, RunSettle},
    command_entry{"status", 0, 0, false, true, RunStatus},
    command_entry{"flows", 0, 0, false, true, RunFlows},
    command_entry{"explain", 1, 1, true, false, RunExplain}};

}  // namespace

command_result RunCommand(const command_line& line,
                          const command_context& context) {
  if (line.command.empty()) return Usage("no command is given");
  for (const command_entry& entry : kCommands) {
    if (line.command != entry.name) continue;
    const size_t count = line.arguments.size();
    if (count < entry.min_arguments || count > entry.max_arguments)
      return Usage(line.command + ": wrong number of arguments");
    if (entry.needs_files && line.files.empty())
      return Usage(line.command + " needs -f FILE");
    if (entry.needs_platform && !line.platform)
      return Usage(line.command + " needs --platform ADDRESS:PORT");
    return entry.run(line, context);
  }
  return Usage("unknown command " + line.command);
}

}  // namespace radishyard
