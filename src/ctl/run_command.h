// Runs the command that a command line names.
#pragma once
#include "ctl/apply.h"
#include "ctl/blocking_store.h"
#include "ctl/command_line.h"
#include "ctl/command_result.h"
#include "ctl/status_commands.h"

namespace radishyard {

/// \brief The store and functions that commands use.
struct command_context {
  blocking_store& store;
  page_fetcher fetch;
  edit_id_source new_edit_id;
};

/// \brief Checks the arguments and runs the command.
/// \returns the command's result; kUsage if the command is unknown, or its
/// arguments or required options are wrong.
command_result RunCommand(const command_line& line,
                          const command_context& context);

}  // namespace radishyard
