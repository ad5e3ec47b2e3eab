// \file Packets as values: parsing and building of IPv4 with TCP or UDP, the
// rewrite of addresses in place, the Geneve envelope between fabric and
// balancers, and the key by which a flow is known.
//
//   using namespace radishyard;
//   failure why;
//   auto frame = DecodeGeneve(datagram, why);
//   auto packet = ParsePacket(frame->inner, why);
//   RewriteDestination(bytes, {upstream, port});  // Checksums included.
#pragma once
#include "packet/flow_key.h"
#include "packet/geneve.h"
#include "packet/packet.h"
