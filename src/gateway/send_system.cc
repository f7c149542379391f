#include "gateway/send_system.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// Requests avoid a server for this long after no connection could be made; a
// process that was restarted listens again within about a second.
constexpr milliseconds kDownPause{250};

// A load report loses half of its weight in this time.
constexpr milliseconds kLoadHalfLife{250};

// Weight of the newest answer in the smoothed latency.
constexpr double kLatencyGain = 0.15;

// Part of the usual latency that a request needs at the server at least: many
// are faster than the mean, so a request is not given up for half of it.
constexpr double kLeastServicePart = 0.5;

// Requests that wait for one server on this host. At a window of a few, more
// could not be served within any usual deadline.
constexpr size_t kLongestQueue = 48;

// What a server in another data centre counts as, in requests for each slot.
constexpr double kFarPenalty = 0.35;

// Rows of servers that were not used for this long are forgotten.
constexpr std::chrono::seconds kForgetAfter{20};

double WeightOfAge(Duration age) {
  return std::exp2(-ToSeconds(age) / ToSeconds(kLoadHalfLife));
}

}  // namespace

SendServerId SendSystem::RowOf(const RoutedServer& server, TimePoint now) {
  const auto found = m_by_id.find(server.m_id);
  if (found != m_by_id.end()) {
    m_servers.Get(found->second).m_last_used = now;
    return found->second;
  }
  SendServerRow row;
  row.m_id = server.m_id;
  row.m_window = std::make_unique<AdaptiveWindow>();
  row.m_load.m_slots = server.m_slots;
  row.m_last_used = now;
  const SendServerId id = m_servers.Insert(std::move(row));
  m_by_id[server.m_id] = id;
  return id;
}

double SendSystem::LoadOf(SendServerId id,
                          const RoutedServer& server,
                          TimePoint now) const {
  const SendServerRow& row = m_servers.Get(id);
  const double reported = (row.m_load.m_running + row.m_load.m_waiting) *
                          WeightOfAge(now - row.m_load_at);
  const double own = row.m_in_flight + row.m_waiting.size();
  return std::max(reported, own) * row.m_load.m_slowdown.value_or(1) /
         std::max(1U, server.m_slots);
}

Duration SendSystem::EstimatedTime(SendServerId id,
                                   const RoutedServer& server,
                                   uint32_t rank,
                                   TimePoint now) const {
  const SendServerRow& row = m_servers.Get(id);
  double ahead = 0;
  for (const auto& [other, count] : row.m_waiting_by_rank) {
    ahead += other <= rank ? count : 0;
  }
  // Requests at the server are in the latency that was measured there.
  const double rounds = ahead / row.m_window->Size();
  const Duration queue = FromSeconds(row.m_latency_seconds * rounds);
  const bool cold = now < server.m_cold_until && row.m_next_cold_send > now;
  return queue + EstimatedService(id) +
         (cold ? row.m_next_cold_send - now : Duration(0));
}

Duration SendSystem::EstimatedService(SendServerId id) const {
  return FromSeconds(m_servers.Get(id).m_latency_seconds * kLeastServicePart);
}

bool SendSystem::HasRoom(SendServerId id) const {
  return m_servers.Get(id).m_waiting.size() < kLongestQueue;
}

std::optional<WaitingOrder> SendSystem::FirstWaiting(SendServerId id) const {
  const SendServerRow& row = m_servers.Get(id);
  if (row.m_waiting.empty()) {
    return std::nullopt;
  }
  return *row.m_waiting.begin();
}

void SendSystem::StartWaiting(SendServerId id, const WaitingOrder& order) {
  SendServerRow& row = m_servers.Get(id);
  row.m_waiting.insert(order);
  ++row.m_waiting_by_rank[order.m_rank];
}

void SendSystem::StopWaiting(SendServerId id, const WaitingOrder& order) {
  SendServerRow& row = m_servers.Get(id);
  if (row.m_waiting.erase(order) > 0) {
    --row.m_waiting_by_rank[order.m_rank];
  }
}

bool SendSystem::MaySend(SendServerId id,
                         const RoutedServer& server,
                         const WaitingOrder& order,
                         TimePoint now,
                         TimePoint& retry_at) const {
  const SendServerRow& row = m_servers.Get(id);
  retry_at = TimePoint::max();
  if (row.m_waiting.empty() || *row.m_waiting.begin() != order ||
      row.m_in_flight >= std::max(1.0, std::floor(row.m_window->Size()))) {
    return false;
  }
  if (now < row.m_next_send) {
    retry_at = row.m_next_send;
    return false;
  }
  if (now < server.m_cold_until && now < row.m_next_cold_send) {
    retry_at = std::min(row.m_next_cold_send, server.m_cold_until);
    return false;
  }
  return true;
}

void SendSystem::OnSent(SendServerId id,
                        const RoutedServer& server,
                        Duration cold_pause,
                        TimePoint now) {
  SendServerRow& row = m_servers.Get(id);
  ++row.m_in_flight;
  if (now < server.m_cold_until) {
    row.m_next_cold_send = now + cold_pause;
  }
}

void SendSystem::OnEnded(SendServerId id,
                         const std::optional<LoadReport>& load,
                         bool answered,
                         Duration latency,
                         TimePoint now) {
  SendServerRow& row = m_servers.Get(id);
  --row.m_in_flight;
  if (answered) {
    const double seconds = ToSeconds(latency);
    row.m_latency_seconds =
        row.m_latency_seconds == 0
            ? seconds
            : row.m_latency_seconds +
                  kLatencyGain * (seconds - row.m_latency_seconds);
  }
  if (answered && load && load->m_waiting == 0) {
    ++row.m_free_answers;
    row.m_free_seconds += ToSeconds(latency);
    row.m_free_slowdown += load->m_slowdown.value_or(0);
  }
  if (load) {
    row.m_load = *load;
    row.m_load_at = now;
    row.m_window->OnLoad(*load);
  }
  // With a window of a third of a request, two thirds of the time are a pause.
  const double size = row.m_window->Size();
  if (size < 1) {
    row.m_next_send = now + FromSeconds(row.m_latency_seconds * (1 / size - 1));
  }
}

void SendSystem::OnRefused(SendServerId id) {
  m_servers.Get(id).m_window->OnRefusal();
}

void SendSystem::OnUnreachable(SendServerId id, TimePoint now) {
  m_servers.Get(id).m_down_until = now + kDownPause;
}

bool SendSystem::IsDown(SendServerId id, TimePoint now) const {
  return now < m_servers.Get(id).m_down_until;
}

std::vector<ServerSpeed> SendSystem::TakeSpeeds() {
  std::vector<ServerSpeed> speeds;
  m_servers.ForEach([&speeds](SendServerId, SendServerRow& row) {
    if (row.m_free_answers > 0) {
      const double count = row.m_free_answers;
      speeds.push_back({row.m_id, row.m_free_answers,
                        static_cast<float>(row.m_free_seconds / count),
                        static_cast<float>(row.m_free_slowdown / count)});
    }
    row.m_free_answers = 0;
    row.m_free_seconds = 0;
    row.m_free_slowdown = 0;
  });
  return speeds;
}

void SendSystem::Expire(TimePoint now) {
  m_servers.ForEach([&](SendServerId id, const SendServerRow& row) {
    if (row.m_in_flight == 0 && row.m_waiting.empty() &&
        now - row.m_last_used > kForgetAfter) {
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

Duration ColdPause(double cold_rate, size_t members) {
  if (cold_rate <= 0) {
    return Duration(0);
  }
  return FromSeconds(static_cast<double>(members) / cold_rate);
}

const RoutedServer* ChooseServer(const ServiceEndpoints& places,
                                 const std::string& data_centre,
                                 const std::set<std::string>& tried,
                                 SendSystem& system,
                                 TimePoint now) {
  const RoutedServer* best = nullptr;
  double best_load = 0;
  for (const auto& [id, server] : places.m_servers) {
    if (!server.m_eligible || tried.contains(id)) {
      continue;
    }
    const SendServerId row = system.RowOf(server, now);
    double load = system.LoadOf(row, server, now);
    load += server.m_data_centre == data_centre ? 0 : kFarPenalty;
    load += now < server.m_cold_until ? 1 : 0;
    load += system.IsDown(row, now) ? 1000 : 0;  // the last resort
    if (!best || load < best_load) {
      best = &server;
      best_load = load;
    }
  }
  return best;
}

}  // namespace foxtail
