#pragma once

#include "core/time.h"
#include "gateway/front_end.h"

namespace foxtail {

/// Limits the requests that this gateway has in flight to one backend server.
/// Other gateways send to the same server, so the limit follows the server's
/// own load reports.
class SendWindow {
 public:
  virtual ~SendWindow() = default;

  /// Returns the limit in requests. Below 1, the gateway pauses after each
  /// request to the server.
  virtual double Size() const = 0;

  /// Adjusts the limit to a load report of the server.
  virtual void OnLoadReport(const LoadReport& load) = 0;

  /// Lowers the limit after the server refused a request because it was full.
  virtual void OnRefusal() = 0;
};

/// Suited to bursts and hot keys that fill the servers' queues, where requests
/// wait in no order of priority and, at some servers, are lost. The window
/// grows slowly while the server's queue is short. While the queue is long, the
/// window shrinks in proportion to the excess, also below one: many hosts with
/// one request each are enough to fill a queue.
class AdaptiveWindow : public SendWindow {
 public:
  double Size() const override;
  void OnLoadReport(const LoadReport& load) override;
  void OnRefusal() override;

 private:
  double m_window = 4;
};

}  // namespace foxtail
