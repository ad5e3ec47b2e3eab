// The module table: the operators' table as values, its JSON form, the checks
// within and across services, and the set of newest records that a balancer
// holds. It offers
//   service, service_record   the values;
//   ParseService, ToJson      the operators' form, with findings;
//   ParseRecord, ToRecordJson the form in the platform's store;
//   FindConflicts             what two services may not share;
//   service_table, ApplyRecord, ComputeTableDigest, ListVersions,
//   FindNewerRecords          adoption by version and exchange with peers.
#pragma once
#include "table/service.h"
#include "table/service_table.h"
#include "table/table_check.h"
#include "table/table_json.h"
