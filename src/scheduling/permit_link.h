#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "runtime/cancellation.h"
#include "runtime/fiber_event.h"
#include "scheduling/permit_client.h"
#include "scheduling/permit_codec.h"
#include "scheduling/permit_scheduler.h"

namespace foxtail {

/// Lets fibers of the traffic thread wait for permits, and serves the permits
/// of the backend servers that this host schedules.
class PermitLink {
 public:
  /// `address` is the IP:PORT of this host for datagrams between schedulers and
  /// the hosts that ask them. `on_failure` receives what went wrong with
  /// datagrams.
  PermitLink(const std::string& address,
             std::function<void(const std::string&)> on_failure);
  ~PermitLink();

  PermitLink(const PermitLink&) = delete;
  PermitLink& operator=(const PermitLink&) = delete;

  const std::string& GetAddress() const { return m_address; }

  /// Opens the socket and starts the fibers. Waits while another socket has the
  /// address.
  void Start();

  /// Replaces the registered servers of a service.
  void SetServers(const std::string& service,
                  const std::vector<SchedulableServer>& servers);

  /// Wakes the waiting fibers, which check whether they still want a permit.
  void WakeAll();

  /// Stops scheduling for other hosts, which turn to the next ones. This host
  /// may still ask.
  void StopScheduling();

  /// Asks for a permit and waits for the decision: granted, refused or
  /// unavailable. While it waits, `still_wanted` is asked after each
  /// notification; when it returns false, or the cancellation is triggered, the
  /// decision is `kQueued`. Every call must be followed by `End`.
  PermitTicket Acquire(PermitRequest request,
                       TimePoint deadline,
                       TimePoint target_at,
                       std::vector<std::string> schedulers,
                       const std::shared_ptr<Cancellation>& cancellation,
                       const std::function<bool()>& still_wanted,
                       PermitDecision& decision);

  /// Returns a permit, or stops waiting for it.
  void End(PermitTicket ticket, const PermitReturn& outcome);

  /// Returns what became of the requests for permits of this host's servers
  /// since the last call.
  std::vector<PermitCounts> TakeCounts() { return m_scheduler.TakeCounts(); }

  /// Returns the number of permits that this host holds or waits for.
  size_t CountOpen() const { return m_client.CountOpen(); }

 private:
  void ReceiveLoop();
  void OnDatagram(const std::string& bytes);
  void TimerLoop();
  void Pump();
  void Deliver(const AddressedRequests& due);
  void Deliver(const AddressedDecisions& due);
  void Send(const std::string& address, const PermitMessage& message);
  void Wake(const std::vector<PermitTicket>& tickets);

  std::string m_address;
  std::function<void(const std::string&)> m_on_failure;
  PermitClient m_client;
  PermitScheduler m_scheduler;
  std::unordered_map<PermitTicket, FiberEvent*> m_waiting;
  std::unordered_map<std::string, boost::asio::ip::udp::endpoint> m_endpoints;
  std::unique_ptr<boost::asio::ip::udp::socket> m_socket;
  FiberEvent m_due;
  bool m_pumping = false;
  bool m_stopping = false;
};

}  // namespace foxtail
