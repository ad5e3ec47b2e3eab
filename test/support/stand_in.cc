// Each control session reads one command at a time and reads the next once the
// reply is written.
#include "support/stand_in.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace radishyard {
namespace {

using asio::ip::tcp;
constexpr auto kTimerInterval = 1ms;

}  // namespace

stand_in_options ParseStandInOptions(int argc, const char** argv) {
  int data = 0;
  int control = 0;
  int seed = 1;
  char* fabric = nullptr;
  const std::array<poptOption, 6> table = {{
      {"data", 'd', POPT_ARG_INT, &data, 0, "UDP data port", "PORT"},
      {"control", 'c', POPT_ARG_INT, &control, 0, "TCP control port", "PORT"},
      {"fabric", 'f', POPT_ARG_STRING, &fabric, 0, "data port of the fabric",
       "HOST:PORT"},
      {"seed", 's', POPT_ARG_INT, &seed, 0, "seed of the choices", "N"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
  const int popt_result = poptGetNextOpt(context);
  if (popt_result < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(popt_result)
              << "\n";
    std::exit(2);
  }
  poptFreeContext(context);
  stand_in_options options;
  options.data = static_cast<uint16_t>(data);
  options.control = static_cast<uint16_t>(control);
  options.seed = static_cast<uint32_t>(seed);
  if (fabric != nullptr) options.fabric = ParseEndpointOrThrow(fabric);
  free(fabric);
  return options;
}

struct stand_in::control_session {
  explicit control_session(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::string input;
};

stand_in::stand_in(std::string name, const stand_in_options& options)
    : name_(std::move(name)),
      acceptor_(io_, {asio::ip::address_v4::loopback(), options.control}),
      timer_tick_(io_),
      data_(io_, options.data) {}

void stand_in::AddCommand(const std::string& name,
                          const std::function<json(const json&)>& handler) {
  AddAsyncCommand(name,
                  [handler](const json& command, const reply_callback& reply) {
                    reply(handler(command));
                  });
}

void stand_in::AddAsyncCommand(
    const std::string& name,
    std::function<void(const json&, const reply_callback&)> handler) {
  commands_[name] = std::move(handler);
}

void stand_in::Run(datagram_socket::handler receive) {
  data_.Start(std::move(receive));
  Accept();
  RunTimers();
  asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](const error_code&, int) { io_.stop(); });
  std::cout << name_ << " listening data=" << data_.port()
            << " control=" << acceptor_.local_endpoint().port() << std::endl;
  io_.run();
}

void stand_in::RunTimers() {
  timers_.RunDue(std::chrono::steady_clock::now());
  timer_tick_.expires_after(kTimerInterval);
  timer_tick_.async_wait([this](const error_code&) { RunTimers(); });
}

void stand_in::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!error) ReadLine(std::make_shared<control_session>(std::move(socket)));
    Accept();
  });
}

void stand_in::ReadLine(const std::shared_ptr<control_session>& session) {
  asio::async_read_until(
      session->socket, asio::dynamic_buffer(session->input), '\n',
      [this, session](const error_code& error, size_t bytes) {
        if (error) return;
        const std::string line = session->input.substr(0, bytes);
        session->input.erase(0, bytes);
        Execute(line, [this, session](const json& reply) {
          error_code failed;
          asio::write(session->socket, asio::buffer(reply.dump() + "\n"),
                      failed);
          if (!failed) ReadLine(session);
        });
      });
}

void stand_in::Execute(const std::string& line, const reply_callback& reply) {
  try {
    const json command = json::parse(line);
    commands_.at(command.at("cmd").get<std::string>())(command, reply);
  } catch (const std::exception& error) {
    reply({{"error", error.what()}});
  }
}

}  // namespace radishyard
