#pragma once

#include <array>
#include <cstdint>
#include <fstream>
#include <string>

#include "core/time.h"
#include "runtime/fiber_event.h"
#include "runtime/http_message.h"

namespace foxtail {

/// Stand-in for a backend server that enforces its grants as the platform's
/// servers do. The server records each run before the run begins.
class SoakServer {
 public:
  SoakServer(std::string id, const std::string& record_file);

  /// Handles a request, a grant call or a release call.
  HttpResponse Handle(HttpRequest& request);

 private:
  struct KeyGrant {
    uint64_t m_fence = 0;
    uint64_t m_highest_fence = 0;
    TimePoint m_valid_until;
    uint32_t m_running_requests = 0;
  };

  HttpResponse HandleGrant(const HttpRequest& request);
  HttpResponse HandleRelease(const HttpRequest& request);
  HttpResponse RunRequest(const HttpRequest& request);
  HttpResponse NotRunResponse(int status) const;

  std::string m_id;
  std::ofstream m_record;
  std::array<KeyGrant, 65536> m_key_grants{};
  FiberEvent m_request_ended;
  uint32_t m_running_requests = 0;
  uint32_t m_waiting_requests = 0;
};

}  // namespace foxtail
