#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace foxtail {

/// A program of the build, started by a test and ended with it.
class Process {
 public:
  /// Starts `program` from the build's bin folder. Output goes to `output`.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& output);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal to this process only.
  void Signal(int number) const;

  /// Ends the process at once and waits for its end.
  void Kill();

  /// Asks for a planned stop and waits; returns the exit code, or -1 when a
  /// signal ended it.
  int Terminate();

  /// Waits for the end; returns the exit code, or -1 when a signal ended it.
  int Wait();

  /// Processor time used so far, and resident memory in bytes.
  struct Usage {
    std::chrono::milliseconds m_cpu{0};
    size_t m_memory = 0;
  };
  Usage ReadUsage() const;

  /// Returns whether the process has not ended yet.
  bool IsRunning();

 private:
  pid_t m_pid = -1;
  int m_exit_code = -1;
};

}  // namespace foxtail
