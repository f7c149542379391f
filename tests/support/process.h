#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace foxtail {

/// A child process that runs a program of the build. The destructor kills the
/// process.
class Process {
 public:
  /// Starts `program` from the build's bin folder and appends its output to the
  /// file `output`. Throws `std::runtime_error` on failure.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& output);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal to the process.
  void Signal(int number) const;

  /// Sends SIGKILL and waits until the process has ended.
  void Kill();

  /// Sends SIGTERM, which begins a graceful shutdown, and waits; returns the
  /// exit code, or -1 if a signal ended the process.
  int Terminate();

  /// Waits until the process has ended; returns the exit code, or -1 if a
  /// signal ended the process.
  int Wait();

  /// CPU time used so far, and resident memory in bytes.
  struct Usage {
    std::chrono::milliseconds m_cpu{0};
    size_t m_memory = 0;
  };
  Usage ReadUsage() const;

  /// Returns the process id, or -1 once the process has ended.
  pid_t GetPid() const { return m_pid; }

  /// Returns whether the process is still running.
  bool IsRunning();

 private:
  pid_t m_pid = -1;
  int m_exit_code = -1;
};

}  // namespace foxtail
