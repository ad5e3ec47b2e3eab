// \file The HTTP server of the admin pages. It runs on the control thread and
// serves GET requests from a map of paths to functions.
//
//   using namespace radishyard;
//   admin_server admin(io, {0x7f000001, 9200}, {{"/status", [&] {
//     return admin_page{"application/json", BuildStatusText()};
//   }}});
#pragma once
#include "admin/admin_server.h"
