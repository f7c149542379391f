#include "gateway/gateway_settings.h"

#include <array>
#include <charconv>

#include "core/error.h"

namespace foxtail {
namespace {

using S = GatewaySettings;

constexpr uint32_t kTextLimit = 4096;    // characters
constexpr uint32_t kTimeLimit = 60'000;  // milliseconds

constexpr std::array<SettingRow<S>, 17> kRows = {{
    {"listen", "FOXTAIL_GATEWAY_LISTEN", "text", 9, 64,
     "IP:PORT that clients connect to", &S::m_listen},
    {"ready", "FOXTAIL_GATEWAY_READY", "text", 9, 64,
     "IP:PORT for the load balancer's readiness check", &S::m_ready},
    {"internal", "FOXTAIL_GATEWAY_INTERNAL", "text", 9, 64,
     "IP:PORT for datagrams between daemons", &S::m_internal},
    {"metrics", "FOXTAIL_GATEWAY_METRICS", "text", 9, 64,
     "IP:PORT that serves /metrics", &S::m_metrics},
    {"store", "FOXTAIL_GATEWAY_STORE", "text", 9, 64,
     "IP:PORT of the platform's table store", &S::m_store},
    {"permits", "FOXTAIL_GATEWAY_PERMITS", "text", 0, 64,
     "IP:PORT for datagrams about permits to send to backend servers; empty "
     "means that no permits are used",
     &S::m_permits},
    {"scheduling", "FOXTAIL_GATEWAY_SCHEDULING", "text", 3, 6,
     "own, shared or auto: whether requests need a permit of the host that "
     "schedules their server; auto means if no workspace has a rate",
     &S::m_scheduling},
    {"data-centre", "FOXTAIL_GATEWAY_DATA_CENTRE", "text", 1, 64,
     "data centre of this host", &S::m_data_centre},
    {"log-file", "FOXTAIL_GATEWAY_LOG_FILE", "text", 0, kTextLimit,
     "file for events; - means standard output", &S::m_log_file},
    {"access-lifetime", "FOXTAIL_GATEWAY_ACCESS_LIFETIME", "ms", 500, 60'000,
     "age of the configuration after which requests with API keys are refused",
     &S::m_access_lifetime},
    {"stop-delay", "FOXTAIL_GATEWAY_STOP_DELAY", "ms", 0, kTimeLimit,
     "time between failing readiness and closing idle connections",
     &S::m_stop_delay},
    {"stop-timeout", "FOXTAIL_GATEWAY_STOP_TIMEOUT", "ms", 0, kTimeLimit,
     "timeout of a graceful shutdown", &S::m_stop_timeout},
    {"connection-limit", "FOXTAIL_GATEWAY_CONNECTION_LIMIT", "connections", 1,
     1'000'000, "limit on simultaneous client connections",
     &S::m_connection_limit},
    {"memory-limit", "FOXTAIL_GATEWAY_MEMORY_LIMIT", "MB", 0, 1'000'000,
     "memory of this host, which bounds what is held for clients; 0 means that "
     "of the machine",
     &S::m_memory_limit},
    {"descriptor-limit", "FOXTAIL_GATEWAY_DESCRIPTOR_LIMIT", "descriptors", 0,
     1'000'000,
     "descriptors that the process may open, which bounds its connections; 0 "
     "means the limit of the process",
     &S::m_descriptor_limit},
    {"processor-share", "FOXTAIL_GATEWAY_PROCESSOR_SHARE", "cores", 1, 16,
     "processor time of this host, a decimal number; hosts with more become "
     "leader first",
     &S::m_processor_share},
    {"retry-percent", "FOXTAIL_GATEWAY_RETRY_PERCENT", "percent", 0, 100,
     "retries for each hundred first attempts", &S::m_retry_percent},
}};

struct SchedulingModeRow {
  std::string_view m_name;
  SchedulingMode m_mode;
};

constexpr std::array kSchedulingModes = {
    SchedulingModeRow{"own", SchedulingMode::kOwn},
    SchedulingModeRow{"shared", SchedulingMode::kShared},
    SchedulingModeRow{"auto", SchedulingMode::kAuto},
};

}  // namespace

double ParseProcessorShare(const GatewaySettings& settings) {
  const std::string& text = settings.m_processor_share;
  double share = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), share);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size() ||
      share <= 0) {
    throw Error(ErrorCode::kSettingInvalid,
                "--processor-share = '" + text +
                    "'; allowed: a decimal number above 0");
  }
  return share;
}

SchedulingMode ParseSchedulingMode(const GatewaySettings& settings) {
  for (const SchedulingModeRow& row : kSchedulingModes) {
    if (row.m_name == settings.m_scheduling) {
      return settings.m_permits.empty() ? SchedulingMode::kOwn : row.m_mode;
    }
  }
  throw Error(ErrorCode::kSettingInvalid, "--scheduling = '" +
                                              settings.m_scheduling +
                                              "'; allowed: own, shared, auto");
}

std::span<const SettingRow<GatewaySettings>> GatewaySettingRows() {
  return kRows;
}

}  // namespace foxtail
