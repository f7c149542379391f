#include "soak/soak_server.h"

#include <json/value.h>

#include <boost/fiber/operations.hpp>

#include "core/json.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kSlots = 4;
constexpr uint32_t kQueue = 12;
constexpr milliseconds kServiceTime{15};

// Interval at which a release checks whether the running requests have ended.
constexpr milliseconds kReleasePoll{5};

std::string HeaderField(const HttpRequest& request, const std::string& name) {
  return request.m_headers.GetOr("X-Foxtailcart-" + name, "");
}

std::pair<uint32_t, uint32_t> KeyRangeOf(const Json::Value& body) {
  return {body["from"].asUInt(), body["target"].asUInt()};
}

}  // namespace

SoakServer::SoakServer(std::string id, const std::string& record_file)
    : m_id(std::move(id)), m_record(record_file, std::ios::app) {}

HttpResponse SoakServer::Handle(HttpRequest& request) {
  if (request.m_target == "/grant") {
    return HandleGrant(request);
  }
  return request.m_target == "/release" ? HandleRelease(request)
                                        : RunRequest(request);
}

HttpResponse SoakServer::HandleGrant(const HttpRequest& request) {
  const Json::Value body = ParseJson(request.m_body);
  const auto [first, last] = KeyRangeOf(body);
  const uint64_t fence = body["fence"].asUInt64();
  HttpResponse response;
  for (uint32_t key = first; key <= last; ++key) {
    if (m_key_grants.at(key).m_highest_fence > fence) {
      response.m_status = 409;
      return response;
    }
  }
  const Duration ttl = FromSeconds(body["hold_s"].asDouble());
  for (uint32_t key = first; key <= last; ++key) {
    m_key_grants[key].m_fence = fence;
    m_key_grants[key].m_highest_fence = fence;
    m_key_grants[key].m_valid_until = Clock::now() + ttl;
  }
  return response;
}

HttpResponse SoakServer::HandleRelease(const HttpRequest& request) {
  const auto [first, last] = KeyRangeOf(ParseJson(request.m_body));
  for (uint32_t key = first; key <= last; ++key) {
    m_key_grants.at(key).m_valid_until = TimePoint();
  }
  for (uint32_t key = first; key <= last; ++key) {
    while (m_key_grants[key].m_running_requests > 0) {
      boost::this_fiber::sleep_for(kReleasePoll);
    }
  }
  HttpResponse response;
  response.m_headers.Set("X-Foxtailcart-Handover", "h");
  return response;
}

HttpResponse SoakServer::NotRunResponse(int status) const {
  HttpResponse response;
  response.m_status = status;
  response.m_headers.Set("X-Foxtailcart-Not-Executed", "1");
  return response;
}

HttpResponse SoakServer::RunRequest(const HttpRequest& request) {
  const std::string key_text = HeaderField(request, "Shard-Key");
  const bool sharded = !key_text.empty();
  const uint32_t key = sharded ? std::stoul(key_text) : 0;
  const TimePoint deadline =
      Clock::now() +
      milliseconds(std::stol(HeaderField(request, "Request-Deadline")));
  if (HeaderField(request, "Target-Instance") != m_id) {
    return NotRunResponse(421);
  }
  if (m_running_requests + m_waiting_requests >= kSlots + kQueue) {
    return NotRunResponse(503);
  }
  ++m_waiting_requests;
  while (m_running_requests >= kSlots && Clock::now() < deadline) {
    m_request_ended.WaitUntil(deadline);
  }
  --m_waiting_requests;
  if (m_running_requests >= kSlots) {
    return NotRunResponse(503);
  }
  KeyGrant& grant = m_key_grants.at(key);
  if (sharded && Clock::now() >= grant.m_valid_until) {
    return NotRunResponse(421);
  }
  ++m_running_requests;
  ++grant.m_running_requests;
  const std::string id = HeaderField(request, "Request-Id");
  // The record is flushed before the work begins, so that a kill cannot hide a
  // run.
  m_record << Clock::now().time_since_epoch().count() << ' ' << m_id << ' '
           << id << ' ' << (sharded ? static_cast<int>(key) : -1) << ' '
           << grant.m_fence << ' '
           << (HeaderField(request, "Credential").empty() ? "-" : "key") << ' '
           << HeaderField(request, "Tenant") << std::endl;
  boost::this_fiber::sleep_for(kServiceTime);
  --m_running_requests;
  --grant.m_running_requests;
  m_request_ended.Notify();
  HttpResponse response;
  response.m_headers.Set("X-Foxtailcart-Request-Id", id);
  response.m_headers.Set("X-Foxtailcart-Response-Stamp", m_id);
  response.m_headers.Set("X-Foxtailcart-Server-Load",
                         std::to_string(m_running_requests) + "," +
                             std::to_string(m_waiting_requests) + "," +
                             std::to_string(kSlots));
  response.m_body = "ran " + id;
  return response;
}

}  // namespace foxtail
