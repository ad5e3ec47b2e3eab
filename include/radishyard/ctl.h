// \file The commands of radishyardctl as functions on the object store:
//   SubmitEdit, ResolveEdit      one conditional write, and its outcome if the
//                                reply to it was lost;
//   DiffServices, MergeServices  the differences and the three-way merge of
//                                services;
//   ApplyFiles, SetUpstreamState and others
//                                the commands that edit the table;
//   CheckFiles                   the command `check`;
//   SetEvacuation                the commands `evacuate` and `restore`;
//   ReportStatus, ReportFlows    the versions in force and the flows on each
//                                balancer;
//   RunCommand                   the selection of a command by the command
//                                line.
#pragma once
#include "ctl/apply.h"
#include "ctl/blocking_store.h"
#include "ctl/check_command.h"
#include "ctl/command_result.h"
#include "ctl/edit.h"
#include "ctl/evacuation_commands.h"
#include "ctl/run_command.h"
#include "ctl/service_commands.h"
#include "ctl/service_merge.h"
#include "ctl/status_commands.h"
