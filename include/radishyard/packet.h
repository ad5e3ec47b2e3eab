// \file Parsing and building of IPv4 packets with TCP or UDP, rewriting of
// addresses in place, the Geneve encapsulation between fabric and balancers,
// and the key that identifies a flow.
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
