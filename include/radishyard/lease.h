// \file The lease on non-idempotent requests: UDP requests that must be
// executed at most once. The functions compute until when a balancer may place
// them for a pool, and when a successor may take the pool over.
//
//   using namespace radishyard;
//   state = OnAcknowledgement(std::move(state), ack, now);
//   auto until = NonIdempotentDeadline(state, "note-office", now);
//   lease_action next = NextAction(state, needs, now);
#pragma once
#include "lease/lease.h"
#include "lease/lease_times.h"
#include "lease/vm_list_history.h"
