#include "scheduling/permit_link.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "core/digest.h"
#include "core/error.h"
#include "runtime/address.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"

namespace foxtail {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

constexpr size_t kMaxDatagramSize = 60 * 1024;  // bytes

// An address of this process that another socket has is tried again after this
// delay.
constexpr milliseconds kAddressRetryDelay{100};

// Bounds the work if something stays due.
constexpr milliseconds kMinPumpInterval{1};

// After a failed receive, which reports that a peer's port has no listener.
constexpr milliseconds kReceiveRetryDelay{5};

udp::endpoint ParseEndpoint(const std::string& text) {
  const Address address = ParseAddress(text);
  return {boost::asio::ip::make_address(address.m_host), address.m_port};
}

}  // namespace

PermitLink::PermitLink(const std::string& address,
                       std::function<void(const std::string&)> on_failure)
    : m_address(address),
      m_on_failure(std::move(on_failure)),
      m_client({}, address, RandomToken()),
      m_scheduler({}) {}

PermitLink::~PermitLink() {
  m_stopping = true;
}

void PermitLink::Start() {
  m_socket = std::make_unique<udp::socket>(ThreadIoContext(), udp::v4());
  boost::system::error_code failure;
  bool reported = false;
  while (m_socket->bind(ParseEndpoint(m_address), failure)) {
    if (!std::exchange(reported, true)) {
      m_on_failure("cannot receive at " + m_address + ": " + failure.message());
    }
    boost::this_fiber::sleep_for(kAddressRetryDelay);
  }
  StartFiber([this] { ReceiveLoop(); });
  StartFiber([this] { TimerLoop(); });
}

void PermitLink::SetServers(const std::string& service,
                            const std::vector<SchedulableServer>& servers) {
  m_scheduler.SetServers(service, servers, Clock::now());
}

void PermitLink::WakeAll() {
  for (const auto& [ticket, event] : m_waiting) {
    event->Notify();
  }
  m_due.Notify();
}

void PermitLink::StopScheduling() {
  m_scheduler.Stop();
  Pump();
}

PermitTicket PermitLink::Acquire(
    PermitRequest request,
    TimePoint deadline,
    TimePoint target_at,
    std::vector<std::string> schedulers,
    const std::shared_ptr<Cancellation>& cancellation,
    const std::function<bool()>& still_wanted,
    PermitDecision& decision) {
  const PermitTicket ticket =
      m_client.Ask(std::move(request), deadline, target_at,
                   std::move(schedulers), Clock::now());
  FiberEvent event;
  m_waiting[ticket] = &event;
  const CancellationScope scope(cancellation, [&event] { event.Notify(); });
  Pump();
  while (m_client.GetDecision(ticket).m_state == PermitState::kQueued &&
         Clock::now() < deadline && still_wanted() &&
         !(cancellation && cancellation->IsCancelled())) {
    event.WaitUntil(deadline);
  }
  m_waiting.erase(ticket);
  decision = m_client.GetDecision(ticket);
  return ticket;
}

void PermitLink::End(PermitTicket ticket, const PermitReturn& outcome) {
  m_client.End(ticket, outcome);
  Pump();
}

void PermitLink::Wake(const std::vector<PermitTicket>& tickets) {
  for (const PermitTicket ticket : tickets) {
    const auto found = m_waiting.find(ticket);
    if (found != m_waiting.end()) {
      found->second->Notify();
    }
  }
}

// Sends what is due. Messages to this host itself are delivered at once, and
// their answers may make further messages due.
void PermitLink::Pump() {
  if (std::exchange(m_pumping, true)) {
    return;
  }
  bool more = true;
  while (more) {
    const TimePoint now = Clock::now();
    Wake(m_client.PassOverSilent(now));
    const auto requests = m_client.CollectMessages(now);
    for (const AddressedRequests& due : requests) {
      Deliver(due);
    }
    const auto decisions = m_scheduler.Run(Clock::now());
    for (const AddressedDecisions& due : decisions) {
      Deliver(due);
    }
    more = !requests.empty() || !decisions.empty();
  }
  m_pumping = false;
  m_due.Notify();
}

void PermitLink::Deliver(const AddressedRequests& due) {
  if (due.m_address == m_address) {
    m_scheduler.Receive(due.m_message, Clock::now());
  } else {
    Send(due.m_address, due.m_message);
  }
}

void PermitLink::Deliver(const AddressedDecisions& due) {
  const PermitDecisions message{m_address, due.m_decisions};
  if (due.m_address == m_address) {
    Wake(m_client.OnDecisions(message, Clock::now()));
  } else {
    Send(due.m_address, message);
  }
}

void PermitLink::Send(const std::string& address,
                      const PermitMessage& message) {
  if (!m_socket) {
    return;
  }
  auto found = m_endpoints.find(address);
  if (found == m_endpoints.end()) {
    found = m_endpoints.emplace(address, ParseEndpoint(address)).first;
  }
  const std::string bytes = EncodePermitMessage(message);
  boost::system::error_code failure;
  m_socket->send_to(boost::asio::buffer(bytes), found->second, 0, failure);
  // A datagram that cannot be sent is treated as lost: it is repeated.
}

void PermitLink::ReceiveLoop() {
  std::string buffer(kMaxDatagramSize, '\0');
  while (!m_stopping) {
    udp::endpoint sender;
    FiberWait wait;
    m_socket->async_receive_from(boost::asio::buffer(buffer), sender,
                                 wait.Handler());
    if (wait.Wait()) {
      boost::this_fiber::sleep_for(kReceiveRetryDelay);
      continue;
    }
    try {
      OnDatagram(buffer.substr(0, wait.GetBytes()));
    } catch (const std::exception& failure) {
      // One datagram must not end the loop that receives all others.
      m_on_failure(failure.what());
    }
    Pump();
  }
}

void PermitLink::OnDatagram(const std::string& bytes) {
  const PermitMessage message = DecodePermitMessage(bytes);
  const TimePoint now = Clock::now();
  if (const auto* requests = std::get_if<PermitRequests>(&message)) {
    ParseEndpoint(requests->m_address);  // the decisions go there
    m_scheduler.Receive(*requests, now);
  } else {
    Wake(m_client.OnDecisions(std::get<PermitDecisions>(message), now));
  }
}

void PermitLink::TimerLoop() {
  while (!m_stopping) {
    const TimePoint next =
        std::min(m_client.FindNextDue(), m_scheduler.FindNextRun());
    if (Clock::now() >= next) {
      Pump();
    }
    m_due.WaitUntil(std::max(next, Clock::now() + kMinPumpInterval));
  }
}

}  // namespace foxtail
