// \file The operators' table of services, its JSON formats, the checks within a
// service and between services, and the table of the newest records that a
// balancer keeps:
//   service, service_record     a service, and its record in the store;
//   ParseService, ToJson        the JSON format that operators edit;
//   ParseRecord, ToRecordJson   the JSON format in the platform's store;
//   FindConflicts               the conflicts between two services;
//   service_table, ApplyRecord  the newest record of each service;
//   ComputeTableDigest, ListVersions, FindNewerRecords
//                               the comparison of tables with peers;
//   evacuation_table            the operators' evacuations of failure domains.
#pragma once
#include "table/evacuation_table.h"
#include "table/service.h"
#include "table/service_table.h"
#include "table/table_check.h"
#include "table/table_json.h"
