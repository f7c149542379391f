#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

/// Identifies a request that waits for a slot.
using TicketNumber = uint64_t;

/// Order in which waiting requests receive the slots of a backend server.
class QueueStrategy {
 public:
  virtual ~QueueStrategy() = default;

  /// Adds a request of a workspace with its weight (at least 1).
  virtual void Push(TicketNumber ticket,
                    const std::string& workspace,
                    uint32_t weight) = 0;

  /// Removes and returns the next request, if any.
  virtual std::optional<TicketNumber> Pop() = 0;

  /// Removes a request that no longer waits; unknown tickets are ignored.
  virtual void Remove(TicketNumber ticket) = 0;

  virtual size_t size() const = 0;
};

/// First come, first served; the baseline strategy.
class FifoQueue : public QueueStrategy {
 public:
  void Push(TicketNumber ticket,
            const std::string& workspace,
            uint32_t weight) override;
  std::optional<TicketNumber> Pop() override;
  void Remove(TicketNumber ticket) override;
  size_t size() const override { return m_tickets.size(); }

 private:
  std::deque<TicketNumber> m_tickets;
};

/// Start-time fair queueing: workspaces share the slots by weight, regardless
/// of the number of waiting requests of each.
class FairQueue : public QueueStrategy {
 public:
  void Push(TicketNumber ticket,
            const std::string& workspace,
            uint32_t weight) override;
  std::optional<TicketNumber> Pop() override;
  void Remove(TicketNumber ticket) override;
  size_t size() const override { return m_waiting.size(); }

 private:
  struct SortKey {
    double m_start = 0;
    TicketNumber m_ticket = 0;
    auto operator<=>(const SortKey&) const = default;
  };

  std::map<SortKey, std::string> m_waiting;

  /// Virtual finish time of the last queued request, by workspace.
  std::map<std::string, double> m_finish_times;
  double m_virtual_time = 0;
};

}  // namespace foxtail
