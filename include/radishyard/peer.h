// \file The protocol between balancers: the messages (peer_message.h), their
// encoding (peer_codec.h), pool loads as differences (pool_delta.h), a
// connection (peer_link.h), the listening and the dialing side (peer_server.h,
// peer_connector.h), and the delay between dialing attempts (backoff.h).
//
// Everything runs on the io_context of the control thread, so that no locks are
// needed.
#pragma once
#include "peer/backoff.h"
#include "peer/peer_codec.h"
#include "peer/peer_connector.h"
#include "peer/peer_link.h"
#include "peer/peer_message.h"
#include "peer/peer_server.h"
#include "peer/pool_delta.h"
