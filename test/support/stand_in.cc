// Control sessions are read line by line; answers are short and written whole.
#include "support/stand_in.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace radishyard {
namespace {

using asio::ip::tcp;
constexpr auto kTick = 1ms;

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
  const int last = poptGetNextOpt(context);
  if (last < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(last)
              << "\n";
    std::exit(2);
  }
  poptFreeContext(context);
  stand_in_options options;
  options.data = static_cast<uint16_t>(data);
  options.control = static_cast<uint16_t>(control);
  options.seed = static_cast<uint32_t>(seed);
  if (fabric != nullptr) options.fabric = ParseEndpoint(fabric);
  free(fabric);
  return options;
}

struct stand_in::session {
  explicit session(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::string input;
};

stand_in::stand_in(std::string name, const stand_in_options& options)
    : name_(std::move(name)),
      acceptor_(io_, {asio::ip::address_v4::loopback(), options.control}),
      ticker_(io_),
      data_(io_, options.data) {}

void stand_in::AddCommand(const std::string& name,
                          const std::function<json(const json&)>& run) {
  AddAsyncCommand(name, [run](const json& command, const reply& answer) {
    answer(run(command));
  });
}

void stand_in::AddAsyncCommand(
    const std::string& name,
    std::function<void(const json&, const reply&)> run) {
  commands_[name] = std::move(run);
}

void stand_in::Run(datagram_socket::handler receive) {
  data_.Start(std::move(receive));
  Accept();
  Tick();
  asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](const error_code&, int) { io_.stop(); });
  std::cout << name_ << " listening data=" << data_.port()
            << " control=" << acceptor_.local_endpoint().port() << std::endl;
  io_.run();
}

void stand_in::Tick() {
  timers_.RunDue(std::chrono::steady_clock::now());
  ticker_.expires_after(kTick);
  ticker_.async_wait([this](const error_code&) { Tick(); });
}

void stand_in::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!error) ReadLine(std::make_shared<session>(std::move(socket)));
    Accept();
  });
}

void stand_in::ReadLine(const std::shared_ptr<session>& peer) {
  asio::async_read_until(
      peer->socket, asio::dynamic_buffer(peer->input), '\n',
      [this, peer](const error_code& error, size_t bytes) {
        if (error) return;
        const std::string line = peer->input.substr(0, bytes);
        peer->input.erase(0, bytes);
        Execute(line, [this, peer](const json& answer) {
          error_code failed;
          asio::write(peer->socket, asio::buffer(answer.dump() + "\n"), failed);
          if (!failed) ReadLine(peer);
        });
      });
}

void stand_in::Execute(const std::string& line, const reply& answer) {
  try {
    const json command = json::parse(line);
    commands_.at(command.at("cmd").get<std::string>())(command, answer);
  } catch (const std::exception& error) {
    answer({{"error", error.what()}});
  }
}

}  // namespace radishyard
