#include "daemon/daemon_settings.h"

#include <array>

namespace foxtail {
namespace {

using S = DaemonSettings;

constexpr uint32_t kMaxTextLength = 4096;  // characters
constexpr uint32_t kMaxTimeMs = 3'600'000;

constexpr std::array<SettingRow<S>, 12> kRows = {{
    {"listen", "FOXTAIL_CONTROL_LISTEN", "text", 9, 64,
     "IP:PORT for entries, operators and other control processes",
     &S::m_listen},
    {"peers", "FOXTAIL_CONTROL_PEERS", "text", 9, kMaxTextLength,
     "all control processes, IP:PORT separated by commas", &S::m_peers},
    {"platform", "FOXTAIL_CONTROL_PLATFORM", "text", 9, 64,
     "IP:PORT of the platform's table service", &S::m_platform},
    {"data-centre", "FOXTAIL_CONTROL_DATA_CENTRE", "text", 1, 64,
     "data centre of this host", &S::m_data_centre},
    {"cluster-secret", "FOXTAIL_CONTROL_CLUSTER_SECRET", "text", 8, 256,
     "secret shared by the project's processes; better set by variable",
     &S::m_cluster_secret},
    {"log-file", "FOXTAIL_CONTROL_LOG_FILE", "text", 0, kMaxTextLength,
     "file that events are logged to; empty means standard error",
     &S::m_log_file},
    {"platform-timeout", "FOXTAIL_CONTROL_PLATFORM_TIMEOUT", "ms", 10, 1000,
     "timeout of a call to the platform", &S::m_platform_timeout},
    {"server-timeout", "FOXTAIL_CONTROL_SERVER_TIMEOUT", "ms", 10, 1000,
     "timeout of a probe or grant call to a backend server",
     &S::m_server_timeout},
    {"stop-timeout", "FOXTAIL_CONTROL_STOP_TIMEOUT", "ms", 0, kMaxTimeMs,
     "longest time that a graceful shutdown waits for leases to be released",
     &S::m_stop_timeout},
    {"placement", "FOXTAIL_CONTROL_PLACEMENT", "text", 7, 10,
     "how owners of partitions are chosen: bounded or rendezvous",
     &S::m_placement},
    {"lease-hold", "FOXTAIL_CONTROL_LEASE_HOLD", "ms", 500, 60'000,
     "TTL of the control lease, counted from when a renewal was sent",
     &S::m_lease_ttl},
    {"lease-take", "FOXTAIL_CONTROL_LEASE_TAKE", "ms", 525, 63'000,
     "time for which a lease row must stay unchanged before a takeover; at "
     "least 5% longer than lease-hold",
     &S::m_takeover_delay},
}};

}  // namespace

std::span<const SettingRow<DaemonSettings>> DaemonSettingRows() {
  return kRows;
}

}  // namespace foxtail
