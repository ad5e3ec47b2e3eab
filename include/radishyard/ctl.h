// The module ctl: the commands of radishyardctl as functions over the object
// store. It offers
//   Submit, Settle            one conditional write, and what became of it;
//   Diff, Merge               differences and the three-way merge of services;
//   Apply, MarkUpstream, ...  the commands, each with a command_result;
//   Status, Flows             what is in force on which balancer;
//   RunCommand                the choice of a command by its command line.
#pragma once
#include "ctl/apply.h"
#include "ctl/blocking_store.h"
#include "ctl/command_result.h"
#include "ctl/edit.h"
#include "ctl/run_command.h"
#include "ctl/status_commands.h"
#include "ctl/table_commands.h"
#include "ctl/table_merge.h"
