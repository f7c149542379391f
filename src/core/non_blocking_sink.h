#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace foxtail {

/// Writes log lines to a pipe, terminal or file that is open already, without
/// ever waiting for its reader. Lines wait in a bounded buffer while the reader
/// is slow; further ones are dropped and counted.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit NonBlockingSink(int descriptor) : m_descriptor(descriptor) {}

  /// Returns the number of lines dropped since the last call, or 0 while lines
  /// are still waiting.
  uint64_t TakeDropped();

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override { WritePending(); }

 private:
  bool IsWritable() const;
  void WritePending();
  void DropPending();

  int m_descriptor;
  std::string m_pending;
  uint64_t m_dropped = 0;
};

}  // namespace foxtail
