#pragma once

#include "core/time.h"
#include "gateway/front_end.h"

namespace foxtail {

/// How many requests this daemon may have at one backend server at once. Other
/// daemons send to the server as well, so its own reports decide.
class SendWindow {
 public:
  virtual ~SendWindow() = default;

  /// Returns the limit in requests. Below 1, the server is to be left alone for
  /// some time after each request.
  virtual double Size() const = 0;

  /// The server answered with its load.
  virtual void OnLoad(const LoadReport& load) = 0;

  /// The server refused a request because it is full.
  virtual void OnRefusal() = 0;
};

/// Load pattern: bursts and busy keys that fill servers' queues, where requests
/// wait without order and, at some servers, are lost. Grows slowly while the
/// server's queue is short. While it is long, shrinks in proportion to what is
/// too much there, also below one: many hosts with one request each are enough
/// to fill a queue.
class AdaptiveWindow : public SendWindow {
 public:
  double Size() const override;
  void OnLoad(const LoadReport& load) override;
  void OnRefusal() override;

 private:
  double m_window = 4;
};

}  // namespace foxtail
