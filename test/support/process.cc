// Starts children by posix_spawn and polls their output files.
#include "support/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

extern char** environ;

namespace radishyard {
namespace {

constexpr auto kPollInterval = 10ms;

}  // namespace

process::process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 std::string output_file)
    : output_file_(std::move(output_file)) {
  std::vector<std::string> argv_strings = {program};
  argv_strings.insert(argv_strings.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(argv_strings.size() + 1);
  for (std::string& argument : argv_strings) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
      &actions, STDOUT_FILENO, output_file_.c_str(),
      O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + program);
}

process::~process() {
  if (exit_code_) return;
  SendSignal(SIGKILL);
  Wait(5s);
}

std::optional<std::string> process::WaitForLine(const std::string& text,
                                                duration timeout) const {
  const time_point until = std::chrono::steady_clock::now() + timeout;
  do {
    std::istringstream lines(Output());
    for (std::string line; std::getline(lines, line);)
      if (line.find(text) != std::string::npos) return line;
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < until);
  return std::nullopt;
}

void process::SendSignal(int number) const {
  if (!exit_code_) kill(pid_, number);
}

std::optional<int> process::Wait(duration timeout) {
  const time_point until = std::chrono::steady_clock::now() + timeout;
  while (!exit_code_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ =
          WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() >= until) {
      break;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return exit_code_;
}

std::string process::Output() const {
  std::ostringstream text;
  text << std::ifstream(output_file_).rdbuf();
  return text.str();
}

uint16_t NumberAfter(const std::string& line, const std::string& key) {
  const size_t at = line.find(key);
  if (at == std::string::npos) throw std::invalid_argument("no " + key);
  return static_cast<uint16_t>(std::stoul(line.substr(at + key.size())));
}

}  // namespace radishyard
