// Stand-in for the platform: an object store and a list of VMs over HTTP/JSON.
#include <popt.h>

#include <iostream>

#include "support/platform_server.h"

int main(int argc, const char** argv) {
  int port = 0;
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "Port to listen on; 0 is any", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("platform", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1 || port < 0 || port > UINT16_MAX) {
    std::cerr << "platform: invalid command line; see --help\n";
    return 2;
  }
  radishyard::asio::io_context io;
  radishyard::platform_server server(io, static_cast<uint16_t>(port));
  radishyard::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](radishyard::error_code, int) { io.stop(); });
  std::cout << "platform listening port=" << server.port() << std::endl;
  io.run();
  return 0;
}
