#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <span>
#include <string>

#include "core/settings.h"
#include "core/time.h"
#include "runtime/fiber_event.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Settings of `standin-backend`.
struct BackendStandinSettings {
  /// Address to listen on.
  std::string m_listen = "127.0.0.1:9000";

  /// Name written to the record.
  std::string m_name = "backend";

  /// File that records event ran and when; empty means none.
  std::string m_record_file;

  /// Requests run at once.
  uint32_t m_slots = 2;

  /// Requests that wait for a slot; one more is shed.
  uint32_t m_queue = 2;

  /// 1 to check grants and fencing epochs.
  uint32_t m_checks_fence = 1;

  /// Time one request takes when warm.
  std::chrono::milliseconds m_service_time{2};

  /// Requests until a cold server is warm.
  uint32_t m_cold_requests = 0;

  /// Requests at once that a cold server bears; more are an overload.
  uint32_t m_cold_limit = 1;

  /// Factor on the service time while cold.
  uint32_t m_cold_factor = 5;
};

/// The settings table of `standin-backend`.
std::span<const SettingRow<BackendStandinSettings>> BackendStandinRows();

/// Stand-in for a backend server: fenced grants, slots, shedding, cold start,
/// deadlines, slowness and a request that crashes it. It records each run from
/// its own point of view.
class BackendStandin {
 public:
  explicit BackendStandin(const BackendStandinSettings& settings);

  /// Answers one request.
  HttpResponse Handle(HttpRequest& request);

 private:
  struct Grant {
    uint64_t m_control_epoch = 0;
    uint64_t m_number = 0;
    TimePoint m_valid_until;
    WallTime m_expires_at;
    std::map<uint32_t, uint64_t> m_partitions;
  };

  HttpResponse HandleGrant(const HttpRequest& request);
  HttpResponse Configure(const HttpRequest& request);
  HttpResponse RunRequest(const HttpRequest& request);
  bool AcquireSlot(TimePoint until);
  std::string RefusalReason(const HttpRequest& request) const;
  bool IsCold() const { return m_executed < m_cold_until_executed; }
  std::chrono::milliseconds ServiceTime() const;
  void RecordEvent(const HttpRequest& request, const std::string& event);
  Json::Value StateJson() const;

  BackendStandinSettings m_settings;
  std::string m_incarnation;
  Grant m_grant;
  FiberEvent m_slot_free;
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint64_t m_executed = 0;
  uint64_t m_cold_until_executed = 0;
  uint64_t m_shed = 0;
  uint64_t m_cold_overloads = 0;
  uint32_t m_max_running = 0;
  uint32_t m_max_waiting = 0;
  uint32_t m_slow_factor = 1;
  TimePoint m_slow_until;
  std::ofstream m_record_stream;
};

}  // namespace foxtail
