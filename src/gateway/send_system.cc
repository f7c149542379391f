#include "gateway/send_system.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Requests avoid a server for this long after a failed connection; a restarted
// process listens again within about a second.
constexpr milliseconds kUnreachableBackoff{250};

// Half-life of the weight of a load report.
constexpr milliseconds kLoadHalfLife{250};

// Weight of the newest response in the smoothed latency.
constexpr double kLatencySmoothing = 0.15;

// Fraction of the smoothed latency that a request is assumed to need at least.
// Many requests are faster than the mean, so a request is only refused if less
// than this fraction of the time is left.
constexpr double kMinServiceFraction = 0.5;

// Longest queue for one server on this host. With a window of a few requests, a
// longer queue could not be served within any usual deadline.
constexpr size_t kMaxQueueLength = 48;

// Load added to servers in other data centres, in requests for each slot.
constexpr double kRemoteLoadPenalty = 0.35;

// Rows of servers that were not used for this long are erased.
constexpr std::chrono::seconds kExpireAfter{20};

// A leaving server is gone by then, or has started again as another
// incarnation.
constexpr std::chrono::minutes kForgetLeavingAfter{10};

double DecayFactor(Duration age) {
  return std::exp2(-ToSeconds(age) / ToSeconds(kLoadHalfLife));
}

bool IsUsable(SendServerId id,
              const RoutedServer& server,
              const SendSystem& system,
              TimePoint now) {
  return now >= system.PauseEnd(id) && !system.LeavingSince(id, server);
}

}  // namespace

SendServerId SendSystem::GetOrInsert(const RoutedServer& server,
                                     TimePoint now) {
  const auto found = m_by_id.find(server.m_id);
  if (found != m_by_id.end()) {
    m_servers.Get(found->second).m_last_used_at = now;
    return found->second;
  }
  SendServerRow row;
  row.m_id = server.m_id;
  row.m_window = std::make_unique<AdaptiveWindow>();
  row.m_load.m_slots = server.m_slots;
  row.m_last_used_at = now;
  const SendServerId id = m_servers.Insert(std::move(row));
  m_by_id[server.m_id] = id;
  return id;
}

double SendSystem::GetRelativeLoad(SendServerId id,
                                   const RoutedServer& server,
                                   TimePoint now) const {
  const SendServerRow& row = m_servers.Get(id);
  const double reported = (row.m_load.m_running + row.m_load.m_waiting) *
                          DecayFactor(now - row.m_load_received_at);
  const double local = row.m_in_flight + row.m_queue.size();
  return std::max(reported, local) * row.m_load.m_slowdown.value_or(1) /
         std::max(1U, server.m_slots);
}

Duration SendSystem::EstimateTotalTime(SendServerId id,
                                       uint32_t priority,
                                       TimePoint now) const {
  const SendServerRow& row = m_servers.Get(id);
  double ahead = 0;
  for (const auto& [other, count] : row.m_queued_by_priority) {
    ahead += other <= priority ? count : 0;
  }
  // Requests that are in flight already are part of the measured latency.
  const double rounds = ahead / row.m_window->Size();
  const Duration queue = FromSeconds(row.m_latency_seconds * rounds);
  return queue + EstimateServiceTime(id) +
         std::max(Duration(0), row.m_paused_until - now);
}

Duration SendSystem::EstimateServiceTime(SendServerId id) const {
  return FromSeconds(m_servers.Get(id).m_latency_seconds * kMinServiceFraction);
}

bool SendSystem::HasQueueSpace(SendServerId id) const {
  return m_servers.Get(id).m_queue.size() < kMaxQueueLength;
}

std::optional<QueueKey> SendSystem::GetQueueHead(SendServerId id) const {
  const SendServerRow& row = m_servers.Get(id);
  if (row.m_queue.empty()) {
    return std::nullopt;
  }
  return *row.m_queue.begin();
}

void SendSystem::Enqueue(SendServerId id, const QueueKey& key) {
  SendServerRow& row = m_servers.Get(id);
  row.m_queue.insert(key);
  ++row.m_queued_by_priority[key.m_priority];
}

void SendSystem::Dequeue(SendServerId id, const QueueKey& key) {
  SendServerRow& row = m_servers.Get(id);
  if (row.m_queue.erase(key) > 0) {
    --row.m_queued_by_priority[key.m_priority];
  }
}

bool SendSystem::CanSend(SendServerId id,
                         const QueueKey& key,
                         TimePoint now,
                         TimePoint& retry_at) const {
  const SendServerRow& row = m_servers.Get(id);
  retry_at = TimePoint::max();
  if (row.m_queue.empty() || *row.m_queue.begin() != key ||
      row.m_in_flight >= std::max(1.0, std::floor(row.m_window->Size()))) {
    return false;
  }
  const TimePoint sendable_at =
      std::max(row.m_next_send_at, row.m_paused_until);
  if (now < sendable_at) {
    retry_at = sendable_at;
    return false;
  }
  return true;
}

void SendSystem::OnSent(SendServerId id) {
  ++m_servers.Get(id).m_in_flight;
}

void SendSystem::OnCompleted(SendServerId id,
                             const std::optional<LoadReport>& load,
                             bool executed,
                             Duration latency,
                             TimePoint now) {
  SendServerRow& row = m_servers.Get(id);
  --row.m_in_flight;
  if (executed) {
    const double seconds = ToSeconds(latency);
    row.m_latency_seconds =
        row.m_latency_seconds == 0
            ? seconds
            : row.m_latency_seconds +
                  kLatencySmoothing * (seconds - row.m_latency_seconds);
  }
  if (executed && load && load->m_waiting == 0) {
    ++row.m_unqueued_responses;
    row.m_unqueued_seconds_sum += ToSeconds(latency);
    row.m_unqueued_slowdown_sum += load->m_slowdown.value_or(0);
  }
  if (load) {
    row.m_load = *load;
    row.m_load_received_at = now;
    row.m_window->OnLoadReport(*load);
  }
  // A window below one is enforced by a pause after each request: with a window
  // of 1/3, two thirds of the time are a pause.
  const double size = row.m_window->Size();
  if (size < 1) {
    row.m_next_send_at =
        now + FromSeconds(row.m_latency_seconds * (1 / size - 1));
  }
}

void SendSystem::OnRefused(SendServerId id) {
  m_servers.Get(id).m_window->OnRefusal();
}

void SendSystem::OnPauseRequested(SendServerId id, TimePoint until) {
  SendServerRow& row = m_servers.Get(id);
  row.m_paused_until = std::max(row.m_paused_until, until);
}

TimePoint SendSystem::PauseEnd(SendServerId id) const {
  return m_servers.Get(id).m_paused_until;
}

bool SendSystem::OnLeaving(SendServerId id,
                           const RoutedServer& server,
                           TimePoint now) {
  if (LeavingSince(id, server)) {
    return false;
  }
  SendServerRow& row = m_servers.Get(id);
  row.m_leaving_since = now;
  row.m_leaving_incarnation = server.m_incarnation;
  return true;
}

std::optional<TimePoint> SendSystem::LeavingSince(
    SendServerId id,
    const RoutedServer& server) const {
  const SendServerRow& row = m_servers.Get(id);
  return row.m_leaving_incarnation == server.m_incarnation ? row.m_leaving_since
                                                           : std::nullopt;
}

void SendSystem::OnUnreachable(SendServerId id, TimePoint now) {
  m_servers.Get(id).m_unreachable_until = now + kUnreachableBackoff;
}

bool SendSystem::IsUnreachable(SendServerId id, TimePoint now) const {
  return now < m_servers.Get(id).m_unreachable_until;
}

std::vector<ServerSpeed> SendSystem::CollectSpeeds() {
  std::vector<ServerSpeed> speeds;
  m_servers.ForEach([&speeds](SendServerId, SendServerRow& row) {
    if (row.m_unqueued_responses > 0) {
      const double count = row.m_unqueued_responses;
      speeds.push_back(
          {row.m_id, row.m_unqueued_responses,
           static_cast<float>(row.m_unqueued_seconds_sum / count),
           static_cast<float>(row.m_unqueued_slowdown_sum / count)});
    }
    row.m_unqueued_responses = 0;
    row.m_unqueued_seconds_sum = 0;
    row.m_unqueued_slowdown_sum = 0;
  });
  return speeds;
}

void SendSystem::Expire(TimePoint now) {
  m_servers.ForEach([&](SendServerId id, const SendServerRow& row) {
    const bool is_leaving =
        row.m_leaving_since && now - *row.m_leaving_since < kForgetLeavingAfter;
    if (row.m_in_flight == 0 && row.m_queue.empty() && !is_leaving &&
        now >= row.m_paused_until && now - row.m_last_used_at > kExpireAfter) {
      m_by_id.erase(row.m_id);
      m_servers.Erase(id);
    }
  });
}

size_t SendSystem::CountInFlight() const {
  size_t count = 0;
  m_servers.ForEach([&count](SendServerId, const SendServerRow& row) {
    count += row.m_in_flight;
  });
  return count;
}

std::optional<TimePoint> FindPauseEnd(const ServiceEndpoints& endpoints,
                                      SendSystem& system,
                                      TimePoint now,
                                      const VersionChoice& versions) {
  std::optional<TimePoint> first;
  for (const auto& [id, server] : endpoints.m_servers) {
    const SendServerId row_id = system.GetOrInsert(server, now);
    const TimePoint end = system.PauseEnd(row_id);
    if (server.m_eligible && versions.Allows(server) &&
        !system.LeavingSince(row_id, server) && end > now) {
      first = std::min(first.value_or(end), end);
    }
  }
  return first;
}

bool HasUsableServer(const ServiceEndpoints& endpoints,
                     SendSystem& system,
                     TimePoint now,
                     const VersionChoice& versions) {
  return std::ranges::any_of(endpoints.m_servers, [&](const auto& entry) {
    const RoutedServer& server = entry.second;
    return server.m_eligible && versions.Allows(server) &&
           IsUsable(system.GetOrInsert(server, now), server, system, now);
  });
}

const RoutedServer* ChooseServer(const ServiceEndpoints& endpoints,
                                 const std::string& data_centre,
                                 const std::set<std::string>& tried_servers,
                                 SendSystem& system,
                                 TimePoint now,
                                 const VersionChoice& versions) {
  const RoutedServer* best = nullptr;
  double best_load = 0;
  for (const auto& [id, server] : endpoints.m_servers) {
    if (!server.m_eligible || tried_servers.contains(id) ||
        !versions.Allows(server)) {
      continue;
    }
    const SendServerId row_id = system.GetOrInsert(server, now);
    if (!IsUsable(row_id, server, system, now)) {
      continue;
    }
    double load = system.GetRelativeLoad(row_id, server, now);
    load += server.m_data_centre == data_centre ? 0 : kRemoteLoadPenalty;
    load += now < server.m_cold_until ? 1 : 0;
    load += system.IsUnreachable(row_id, now) ? 1000
                                              : 0;  // only if no other is left
    if (!best || load < best_load) {
      best = &server;
      best_load = load;
    }
  }
  return best;
}

}  // namespace foxtail
