#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "runtime/fiber_event.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Stand-in for the platform's table store, with the failures of the real
/// store: outages, slow responses, responses that are lost after the write took
/// effect, change history that is dropped, and returns from an old copy.
class PlatformStandin {
 public:
  /// Handles one request: the store's row calls, and the injected failures
  /// under /faults.
  HttpResponse Handle(HttpRequest& request);

 private:
  using Key = std::pair<std::string, std::string>;

  struct Row {
    uint64_t m_version = 0;
    std::string m_value;
    bool m_removed = false;
  };

  /// State that a copy holds.
  struct Content {
    /// Rows by table and key. Removed rows stay, since the feed reports them.
    std::map<Key, Row> m_rows;
    uint64_t m_last_version = 0;

    /// The feed no longer reports changes up to this version.
    uint64_t m_history_start = 0;
  };

  HttpResponse HandleFaults(const HttpRequest& request);
  HttpResponse HandleRows(const HttpRequest& request);
  HttpResponse GetRows(const std::map<std::string, std::string>& query) const;
  HttpResponse ReadFeed(const std::map<std::string, std::string>& query);
  HttpResponse RunTransaction(std::string_view text);
  uint64_t VersionOf(const Key& key) const;
  Json::Value CommonFields() const;

  Content m_content;
  Content m_copy;

  /// Era that all responses to row calls say; in era 0 they say none.
  uint64_t m_era = 0;
  FiberEvent m_rows_changed;
  TimePoint m_started_at = Clock::now();
  bool m_down = false;
  uint32_t m_responses_to_lose = 0;
  std::chrono::milliseconds m_request_delay{0};
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
};

}  // namespace foxtail
