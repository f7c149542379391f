#pragma once

#include <boost/fiber/buffered_channel.hpp>
#include <boost/fiber/future/future.hpp>
#include <boost/fiber/future/promise.hpp>
#include <functional>
#include <memory>

namespace foxtail {

/// A bounded queue of calls that run on the thread that executes `Loop`. Any
/// fiber of any thread may post; the posting fiber waits while the queue is
/// full.
class Mailbox {
 public:
  Mailbox() : m_calls(kCapacity) {}

  /// Runs the calls in order, in the calling fiber, until `Close`.
  void Loop() {
    std::function<void()> call;
    while (m_calls.pop(call) == boost::fibers::channel_op_status::success) {
      call();
      call = nullptr;
    }
  }

  /// Queues a call. After `Close` the call is dropped.
  void Post(std::function<void()> call) { m_calls.push(std::move(call)); }

  /// Queues a call and waits for its result. The loop must be running.
  template <typename Function>
  auto Call(Function function) -> decltype(function()) {
    using Result = decltype(function());
    auto done = std::make_shared<boost::fibers::promise<Result>>();
    auto result = done->get_future();
    Post([done, function] {
      if constexpr (std::is_void_v<Result>) {
        function();
        done->set_value();
      } else {
        done->set_value(function());
      }
    });
    return result.get();
  }

  /// Ends the loop once the queued calls have run.
  void Close() { m_calls.close(); }

 private:
  static constexpr size_t kCapacity = 256;  // calls

  boost::fibers::buffered_channel<std::function<void()>> m_calls;
};

}  // namespace foxtail
