// Module peer: the protocol between balancers. Messages as values
// (peer_message.h), their form on the wire (peer_codec.h), pool loads as
// differences (pool_delta.h), a connection (peer_link.h) and its two ends
// (peer_server.h, peer_connector.h).
//
// Everything runs on the control thread's io_context; nothing here takes a
// lock.
#pragma once
#include "peer/backoff.h"
#include "peer/peer_codec.h"
#include "peer/peer_connector.h"
#include "peer/peer_link.h"
#include "peer/peer_message.h"
#include "peer/peer_server.h"
#include "peer/pool_delta.h"
