// The frame of a stand-in process: options, data port, timers, and a control
// port that takes one JSON object per line and answers with one line.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "support/datagram_socket.h"
#include "support/timer_queue.h"

namespace radishyard {

/// \brief Options of the command line, the same for every stand-in.
struct stand_in_options {
  uint16_t data = 0;     ///< UDP port of the data; 0 takes any.
  uint16_t control = 0;  ///< TCP port of the control; 0 takes any.
  endpoint fabric;       ///< Data port of the fabric.
  uint32_t seed = 1;
};

/// \brief Parses the command line with popt; exits with 2 and a message where
/// it is wrong.
stand_in_options ParseStandInOptions(int argc, const char** argv);

/// \brief A process that plays one part of the world around the balancers.
///
/// \code
/// stand_in frame("fabric", ParseStandInOptions(argc, argv));
/// frame.AddCommand("stats", [&](const nlohmann::json&) { return Stats(); });
/// frame.Run([&](byte_span datagram, const endpoint& from) { ... });
/// \endcode
class stand_in {
 public:
  using json = nlohmann::json;
  using reply = std::function<void(const json&)>;

  stand_in(std::string name, const stand_in_options& options);

  /// \brief Registers the command {"cmd": name}. A command that throws is
  /// answered with {"error": reason}.
  void AddCommand(const std::string& name,
                  const std::function<json(const json&)>& run);
  /// \brief As AddCommand(), for an answer that comes later.
  void AddAsyncCommand(const std::string& name,
                       std::function<void(const json&, const reply&)> run);

  /// \brief Prints "<name> listening data=P control=P" and serves until SIGTERM
  /// or SIGINT.
  void Run(datagram_socket::handler receive);

  datagram_socket& data() { return data_; }
  timer_queue& timers() { return timers_; }

 private:
  struct session;
  void Accept();
  void ReadLine(const std::shared_ptr<session>& peer);
  void Execute(const std::string& line, const reply& answer);
  void Tick();

  std::string name_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer ticker_;
  datagram_socket data_;
  timer_queue timers_;
  std::map<std::string, std::function<void(const json&, const reply&)>>
      commands_;
};

}  // namespace radishyard
