// Choice of the command that a command line names.
#pragma once
#include "ctl/apply.h"
#include "ctl/blocking_store.h"
#include "ctl/command_line.h"
#include "ctl/command_result.h"
#include "ctl/status_commands.h"

namespace radishyard {

/// \brief What commands work with.
struct command_context {
  blocking_store& store;
  page_fetcher fetch;
  edit_id_source new_edit_id;
};

/// \brief Checks the number of arguments and runs the command; kUsage where the
/// command is unknown or its arguments do not fit.
command_result RunCommand(const command_line& line,
                          const command_context& context);

}  // namespace radishyard
