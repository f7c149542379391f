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

  /// Name written to the record file.
  std::string m_name = "backend";

  /// File that records what ran and when; empty means none.
  std::string m_record_file;

  /// Maximum number of requests that run concurrently.
  uint32_t m_slots = 2;

  /// Maximum number of requests that wait for a slot; further requests are
  /// shed.
  uint32_t m_queue = 2;

  /// 1 to check grants and fencing epochs.
  uint32_t m_checks_fence = 1;

  /// Service time of one request on a warm server.
  std::chrono::milliseconds m_service_time{2};

  /// Number of executed requests after which a cold server is warm.
  uint32_t m_cold_requests = 0;

  /// Maximum number of concurrent requests on a cold server; more count as an
  /// overload.
  uint32_t m_cold_limit = 1;

  /// Factor on the service time while the server is cold.
  uint32_t m_cold_factor = 5;
};

/// The settings table of `standin-backend`.
std::span<const SettingRow<BackendStandinSettings>> BackendStandinRows();

/// Stand-in for a backend server: fenced grants, slots, load shedding, cold
/// start, deadlines, slow periods and a request that crashes the process. The
/// server records each run itself, independently of the router.
class BackendStandin {
 public:
  explicit BackendStandin(const BackendStandinSettings& settings);

  /// Handles one request.
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
