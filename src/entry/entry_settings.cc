#include "entry/entry_settings.h"

#include <array>

namespace foxtail {
namespace {

using S = EntrySettings;

constexpr uint32_t kTextLimit = 4096;       // characters
constexpr uint32_t kTimeLimit = 3'600'000;  // milliseconds

constexpr std::array<SettingRow<S>, 17> kRows = {{
    {"listen", "FOXTAIL_ENTRY_LISTEN", "text", 9, 64,
     "IP:PORT that clients connect to", &S::m_listen},
    {"internal", "FOXTAIL_ENTRY_INTERNAL", "text", 9, 64,
     "IP:PORT for other entries; thread N uses the port after it by N",
     &S::m_internal},
    {"control", "FOXTAIL_ENTRY_CONTROL", "text", 9, kTextLimit,
     "control processes, IP:PORT separated by commas", &S::m_control},
    {"data-centre", "FOXTAIL_ENTRY_DATA_CENTRE", "text", 1, 64,
     "data centre of this host", &S::m_data_centre},
    {"cluster-secret", "FOXTAIL_ENTRY_CLUSTER_SECRET", "text", 8, 256,
     "secret shared by the project's processes; better set by variable",
     &S::m_cluster_secret},
    {"log-file", "FOXTAIL_ENTRY_LOG_FILE", "text", 0, kTextLimit,
     "file for events; none means standard error", &S::m_log_file},
    {"threads", "FOXTAIL_ENTRY_THREADS", "threads", 1, 64,
     "number of traffic threads", &S::m_threads},
    {"body-limit", "FOXTAIL_ENTRY_BODY_LIMIT", "KiB", 1, 65536,
     "largest accepted request body", &S::m_body_limit_kib},
    {"connection-limit", "FOXTAIL_ENTRY_CONNECTION_LIMIT", "connections", 1,
     1'000'000, "maximum number of client connections per thread",
     &S::m_connection_limit},
    {"read-timeout", "FOXTAIL_ENTRY_READ_TIMEOUT", "ms", 10, kTimeLimit,
     "maximum time for a client to send one request", &S::m_read_timeout},
    {"access-lifetime", "FOXTAIL_ENTRY_ACCESS_LIFETIME", "ms", 500, 3000,
     "age of the API key data after which requests are refused",
     &S::m_access_lifetime},
    {"token-wait", "FOXTAIL_ENTRY_TOKEN_WAIT", "ms", 0, 10'000,
     "maximum time a request waits for a token before it is refused",
     &S::m_token_wait},
    {"stop-delay", "FOXTAIL_ENTRY_STOP_DELAY", "ms", 0, kTimeLimit,
     "delay between failing health checks and releasing leases at shutdown",
     &S::m_stop_delay},
    {"stop-timeout", "FOXTAIL_ENTRY_STOP_TIMEOUT", "ms", 0, kTimeLimit,
     "maximum time a graceful shutdown waits for requests in progress",
     &S::m_stop_timeout},
    {"queue", "FOXTAIL_ENTRY_QUEUE", "text", 4, 4,
     "order of requests that wait for a server: fair or fifo", &S::m_queue},
    {"limit", "FOXTAIL_ENTRY_LIMIT", "text", 4, 5,
     "concurrency of a cold server: ramp or fixed", &S::m_limit},
    {"share", "FOXTAIL_ENTRY_SHARE", "text", 5, 6,
     "tokens kept in stock: demand or fixed", &S::m_share},
}};

}  // namespace

std::span<const SettingRow<EntrySettings>> EntrySettingRows() {
  return kRows;
}

}  // namespace foxtail
