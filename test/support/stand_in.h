// The common part of all stand-in processes: options, data port, timers, and a
// control port that receives commands as lines of JSON and replies to each with
// one line.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "support/datagram_socket.h"
#include "support/timer_queue.h"

namespace radishyard {

/// \brief Command-line options, which are the same for every stand-in.
struct stand_in_options {
  uint16_t data = 0;     ///< UDP port for packets; 0 means any free port.
  uint16_t control = 0;  ///< TCP port for commands; 0 means any free port.
  endpoint fabric;       ///< Data port of the fabric.
  uint32_t seed = 1;
};

/// \brief Parses the command line. Prints a message and exits with code 2 if it
/// is invalid.
stand_in_options ParseStandInOptions(int argc, const char** argv);

/// \brief A process that simulates one component of the environment of the
/// balancers: the fabric, the callers or the upstreams.
///
/// \code
/// stand_in frame("fabric", ParseStandInOptions(argc, argv));
/// frame.AddCommand("stats", [&](const nlohmann::json&) { return Stats(); });
/// frame.Run([&](byte_span datagram, const endpoint& from) { ... });
/// \endcode
class stand_in {
 public:
  using json = nlohmann::json;
  using reply_callback = std::function<void(const json&)>;

  stand_in(std::string name, const stand_in_options& options);

  /// \brief Registers the command {"cmd": name}; the result of `handler` is the
  /// reply. If it throws, the reply is {"error": reason}.
  void AddCommand(const std::string& name,
                  const std::function<json(const json&)>& handler);
  /// \brief Registers a command whose handler replies later by calling its
  /// second argument.
  void AddAsyncCommand(
      const std::string& name,
      std::function<void(const json&, const reply_callback&)> handler);

  /// \brief Prints "<name> listening data=P control=P", then serves until
  /// SIGTERM or SIGINT. Each datagram is passed to `receive`.
  void Run(datagram_socket::handler receive);

  datagram_socket& data() { return data_; }
  timer_queue& timers() { return timers_; }

 private:
  struct control_session;
  void Accept();
  void ReadLine(const std::shared_ptr<control_session>& session);
  void Execute(const std::string& line, const reply_callback& reply);
  void RunTimers();

  std::string name_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_tick_;
  datagram_socket data_;
  timer_queue timers_;
  std::map<std::string, std::function<void(const json&, const reply_callback&)>>
      commands_;
};

}  // namespace radishyard
