#pragma once

#include <array>
#include <cstdint>
#include <fstream>
#include <string>

#include "core/time.h"
#include "runtime/fiber_event.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Stand-in for a backend server that enforces its grants as the platform's do.
/// Records each run from its own point of view before it begins.
class SoakServer {
 public:
  SoakServer(std::string id, const std::string& record_file);

  /// Answers a request or an order.
  HttpResponse Handle(HttpRequest& request);

 private:
  struct Hold {
    uint64_t m_fence = 0;
    uint64_t m_highest_fence = 0;
    TimePoint m_until;
    uint32_t m_running = 0;
  };

  HttpResponse Grant(const HttpRequest& request);
  HttpResponse Release(const HttpRequest& request);
  HttpResponse Run(const HttpRequest& request);
  HttpResponse NotRun(int status) const;

  std::string m_id;
  std::ofstream m_record;
  std::array<Hold, 65536> m_holds{};
  FiberEvent m_ended;
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
};

}  // namespace foxtail
