// \file The admin pages: a small HTTP server on the control thread that answers
// GET requests from a map of paths.
//
//   using namespace radishyard;
//   admin_server admin(io, {0x7f000001, 9200}, {{"/status", [&] {
//     return admin_page{"application/json", StatusText()};
//   }}});
#pragma once
#include "admin/admin_server.h"
