#include "daemon/daemon_settings.h"

#include <array>

namespace foxtail {
namespace {

using S = DaemonSettings;

constexpr uint32_t kTextLimit = 4096;       // characters
constexpr uint32_t kTimeLimit = 3'600'000;  // milliseconds

constexpr std::array<SettingRow<S>, 12> kRows = {{
    {"listen", "FOXTAIL_CONTROL_LISTEN", "text", 9, 64,
     "IP:PORT for entries, operators and other control processes",
     &S::m_listen},
    {"peers", "FOXTAIL_CONTROL_PEERS", "text", 9, kTextLimit,
     "all control processes, IP:PORT separated by commas", &S::m_peers},
    {"platform", "FOXTAIL_CONTROL_PLATFORM", "text", 9, 64,
     "IP:PORT of the platform's table service", &S::m_platform},
    {"data-centre", "FOXTAIL_CONTROL_DATA_CENTRE", "text", 1, 64,
     "data centre this host stands in", &S::m_data_centre},
    {"cluster-secret", "FOXTAIL_CONTROL_CLUSTER_SECRET", "text", 8, 256,
     "secret shared by the project's processes; better set by variable",
     &S::m_cluster_secret},
    {"log-file", "FOXTAIL_CONTROL_LOG_FILE", "text", 0, kTextLimit,
     "file for events; none means standard error", &S::m_log_file},
    {"platform-timeout", "FOXTAIL_CONTROL_PLATFORM_TIMEOUT", "ms", 10, 1000,
     "longest time a call to the platform may take", &S::m_platform_timeout},
    {"server-timeout", "FOXTAIL_CONTROL_SERVER_TIMEOUT", "ms", 10, 1000,
     "longest time a probe or grant may take", &S::m_server_timeout},
    {"stop-timeout", "FOXTAIL_CONTROL_STOP_TIMEOUT", "ms", 0, kTimeLimit,
     "longest time a planned stop waits for leases to be given back",
     &S::m_stop_timeout},
    {"placement", "FOXTAIL_CONTROL_PLACEMENT", "text", 7, 10,
     "how owners of partitions are chosen: bounded or rendezvous",
     &S::m_placement},
    {"lease-hold", "FOXTAIL_CONTROL_LEASE_HOLD", "ms", 500, 60'000,
     "life of the control lease after a renewal was sent", &S::m_lease_ttl},
    {"lease-take", "FOXTAIL_CONTROL_LEASE_TAKE", "ms", 525, 63'000,
     "time an unchanged lease row is watched before a takeover; at least 5% "
     "longer than lease-hold",
     &S::m_takeover_delay},
}};

}  // namespace

std::span<const SettingRow<DaemonSettings>> DaemonSettingRows() {
  return kRows;
}

}  // namespace foxtail
