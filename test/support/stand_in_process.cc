// The ports are read from the line that a stand-in prints when it is ready.
#include "support/stand_in_process.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>

namespace radishyard {
namespace {

constexpr auto kStartTimeout = 10s;

std::string WaitForReadyLine(const process& child) {
  auto line = child.WaitForLine("listening", kStartTimeout);
  if (!line)
    throw std::runtime_error("stand-in did not start: " + child.Output());
  return *line;
}

}  // namespace

std::string BinaryPath(const std::string& name) {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path() / name;
}

std::string MakeTestFolder() {
  const auto* test = testing::UnitTest::GetInstance()->current_test_info();
  const std::string name =
      test ? std::string(test->test_suite_name()) + "." + test->name()
           : "process." + std::to_string(getpid());
  std::string folder = testing::TempDir() + "/radishyard." + name;
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder;
}

stand_in_process::stand_in_process(const std::string& name,
                                   const std::vector<std::string>& arguments,
                                   const std::string& folder)
    : child_(BinaryPath(name), arguments, folder + "/" + name + ".log"),
      ready_line_(WaitForReadyLine(child_)),
      data_("127.0.0.1:" + std::to_string(NumberAfter(ready_line_, "data="))),
      control_(NumberAfter(ready_line_, "control=")) {}

}  // namespace radishyard
