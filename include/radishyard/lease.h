// \file The lease on unsafe work: which balancer may place UDP requests that
// must run at most once, until when, and who may take that right over.
//
//   using namespace radishyard;
//   state = OnAcknowledgement(std::move(state), ack, now);
//   auto until = NonIdempotentDeadline(state, "note-office", now);
//   lease_action next = NextAction(state, needs, now);
#pragma once
#include "lease/lease.h"
#include "lease/lease_times.h"
#include "lease/vm_list_history.h"
