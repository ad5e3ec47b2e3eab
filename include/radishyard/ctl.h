// The module ctl: the commands of radishyardctl as functions over the object
// store. It offers
//   SubmitEdit, ResolveEdit      one conditional write, and what became of it;
//   DiffServices, MergeServices  differences and the three-way merge;
//   ApplyFiles, SetUpstreamState, ...
//                                the commands, each with a command_result;
//   ReportStatus, ReportFlows    what is in force on which balancer;
//   RunCommand                   the choice of a command by its command line.
#pragma once
#include "ctl/apply.h"
#include "ctl/blocking_store.h"
#include "ctl/command_result.h"
#include "ctl/edit.h"
#include "ctl/run_command.h"
#include "ctl/service_commands.h"
#include "ctl/service_merge.h"
#include "ctl/status_commands.h"
