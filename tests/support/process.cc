#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/fiber/operations.hpp>
#include <chrono>
#include <fstream>
#include <stdexcept>

extern char** environ;

namespace foxtail {
namespace {

int ExitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& output) {
  const std::string path = std::string(FOXTAIL_BIN) + "/" + program;
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failure = posix_spawn(&m_pid, path.c_str(), &actions, nullptr,
                                  argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

Process::~Process() {
  Kill();
}

void Process::Signal(int number) const {
  if (m_pid > 0) {
    kill(m_pid, number);
  }
}

void Process::Kill() {
  Signal(SIGKILL);
  Wait();
}

int Process::Terminate() {
  Signal(SIGTERM);
  return Wait();
}

int Process::Wait() {
  while (IsRunning()) {
    // A blocking wait would stop the other fibers of the test.
    boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
  }
  return m_exit_code;
}

Process::Usage Process::ReadUsage() const {
  constexpr int kFieldsBeforeTimes = 11;
  std::ifstream stat("/proc/" + std::to_string(m_pid) + "/stat");
  std::string text;
  std::getline(stat, text, ')');  // the name may hold blanks
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    stat >> text;
  }
  uint64_t user = 0;
  uint64_t system = 0;
  stat >> user >> system;
  std::ifstream memory("/proc/" + std::to_string(m_pid) + "/statm");
  size_t pages = 0;
  memory >> pages >> pages;
  const auto ticks = static_cast<uint64_t>(sysconf(_SC_CLK_TCK));
  return {std::chrono::milliseconds((user + system) * 1000 / ticks),
          pages * static_cast<size_t>(sysconf(_SC_PAGESIZE))};
}

bool Process::IsRunning() {
  if (m_pid <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return true;
  }
  m_pid = -1;
  m_exit_code = ExitCodeOf(status);
  return false;
}

}  // namespace foxtail
