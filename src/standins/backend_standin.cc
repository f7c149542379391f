#include "standins/backend_standin.h"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <cstdlib>

#include "core/digest.h"
#include "core/error.h"
#include "core/json.h"
#include "runtime/error_response.h"

namespace foxtail {
namespace {

using S = BackendStandinSettings;
using std::chrono::milliseconds;

constexpr std::array<SettingRow<S>, 10> kRows = {{
    {"listen", "STANDIN_BACKEND_LISTEN", "text", 9, 64, "IP:PORT",
     &S::m_listen},
    {"name", "STANDIN_BACKEND_NAME", "text", 1, 64, "name in the record file",
     &S::m_name},
    {"record-file", "STANDIN_BACKEND_RECORD_FILE", "text", 0, 4096,
     "file that records what ran; none means no record", &S::m_record_file},
    {"slots", "STANDIN_BACKEND_SLOTS", "requests", 1, 1000,
     "requests that run concurrently", &S::m_slots},
    {"queue", "STANDIN_BACKEND_QUEUE", "requests", 0, 100'000,
     "requests that wait for a slot", &S::m_queue},
    {"checks-fence", "STANDIN_BACKEND_CHECKS_FENCE", "flag", 0, 1,
     "1 to check grants and epochs", &S::m_checks_fence},
    {"service-time", "STANDIN_BACKEND_SERVICE_TIME", "ms", 0, 60'000,
     "time one request takes when warm", &S::m_service_time},
    {"cold-requests", "STANDIN_BACKEND_COLD_REQUESTS", "requests", 0, 1'000'000,
     "executed requests until a cold server is warm", &S::m_cold_requests},
    {"cold-limit", "STANDIN_BACKEND_COLD_LIMIT", "requests", 1, 1000,
     "concurrent requests that a cold server can run", &S::m_cold_limit},
    {"cold-factor", "STANDIN_BACKEND_COLD_FACTOR", "factor", 1, 1000,
     "factor on the service time of a cold server", &S::m_cold_factor},
}};

constexpr const char* kCrashMarker = "crash-the-server";
constexpr int kCrashExitCode = 70;
constexpr int kStatusConflict = 409;

HttpResponse JsonResponse(const Json::Value& body) {
  HttpResponse response;
  response.m_headers.Set("content-type", "application/json");
  response.m_body = JsonText(body) + "\n";
  return response;
}

int64_t NumericHeader(const HttpRequest& request, const char* header) {
  return std::atoll(request.m_headers.GetOr(header, "0").c_str());
}

HttpResponse RefusalResponse(const std::string& reason) {
  return ToErrorResponse(
      Error(ErrorCode::kServerRefused, Execution::kNotRun, reason));
}

}  // namespace

std::span<const SettingRow<BackendStandinSettings>> BackendStandinRows() {
  return kRows;
}

BackendStandin::BackendStandin(const BackendStandinSettings& settings)
    : m_settings(settings),
      m_incarnation(RandomToken()),
      m_cold_until_executed(settings.m_cold_requests) {
  if (!settings.m_record_file.empty()) {
    m_record_stream.open(settings.m_record_file, std::ios::app);
  }
}

HttpResponse BackendStandin::Handle(HttpRequest& request) {
  HttpResponse response;
  if (request.m_target == "/health") {
    response.m_body = "ok\n";
  } else if (request.m_target == "/grants") {
    response = HandleGrant(request);
  } else if (request.m_target == "/standin") {
    response = Configure(request);
  } else {
    response = RunRequest(request);
  }
  response.m_headers.Set("x-server-instance", m_incarnation);
  return response;
}

// A grant list replaces the previous one. Lists from an earlier controller and
// lists with an old number are refused.
HttpResponse BackendStandin::HandleGrant(const HttpRequest& request) {
  const Json::Value body = ParseJson(request.m_body);
  Grant grant;
  grant.m_control_epoch = body["control_epoch"].asUInt64();
  grant.m_number = body["number"].asUInt64();
  const bool outdated = grant.m_control_epoch < m_grant.m_control_epoch ||
                        (grant.m_control_epoch == m_grant.m_control_epoch &&
                         grant.m_number <= m_grant.m_number);
  if (outdated) {
    HttpResponse response;
    response.m_status = kStatusConflict;
    return response;
  }
  grant.m_valid_until =
      Clock::now() + milliseconds(body["lifetime_ms"].asInt64());
  grant.m_expires_at =
      WallTime(milliseconds(body["expires_unix_ms"].asInt64()));
  for (const Json::Value& row : body["partitions"]) {
    grant.m_partitions.emplace(row[0].asUInt(), row[1].asUInt64());
  }
  m_grant = std::move(grant);
  return JsonResponse(Json::Value(Json::objectValue));
}

HttpResponse BackendStandin::Configure(const HttpRequest& request) {
  if (request.m_method == "POST") {
    const Json::Value body = ParseJson(request.m_body);
    if (body.isMember("slow_factor")) {
      m_slow_factor = body["slow_factor"].asUInt();
      m_slow_until = Clock::now() + milliseconds(body["slow_ms"].asInt64());
    }
    if (body.isMember("service_time_ms")) {
      m_settings.m_service_time =
          milliseconds(body["service_time_ms"].asInt64());
    }
    if (body.get("turn_cold", false).asBool()) {
      m_cold_until_executed = m_executed + m_settings.m_cold_requests;
    }
  }
  return JsonResponse(StateJson());
}

Json::Value BackendStandin::StateJson() const {
  Json::Value state;
  state["name"] = m_settings.m_name;
  state["answered"] = Json::UInt64(m_executed);
  state["shed"] = Json::UInt64(m_shed);
  state["cold"] = IsCold();
  state["cold_overloads"] = Json::UInt64(m_cold_overloads);
  state["most_running"] = m_max_running;
  state["most_waiting"] = m_max_waiting;
  state["partitions"] = Json::UInt64(m_grant.m_partitions.size());
  return state;
}

// Returns why the request may not run now, or an empty string. RunRequest
// checks this before the run and again before the effect.
std::string BackendStandin::RefusalReason(const HttpRequest& request) const {
  const int64_t deadline = NumericHeader(request, "x-foxtail-deadline-unix-ms");
  if (deadline > 0 && WallNow() >= WallTime(milliseconds(deadline))) {
    return "deadline passed";
  }
  if (m_settings.m_checks_fence == 0) {
    return "";
  }
  if (Clock::now() >= m_grant.m_valid_until ||
      WallNow() >= m_grant.m_expires_at) {
    return "no grant in force";
  }
  const auto partition =
      static_cast<uint32_t>(NumericHeader(request, "x-foxtail-partition"));
  const auto epoch =
      static_cast<uint64_t>(NumericHeader(request, "x-foxtail-epoch"));
  const auto granted = m_grant.m_partitions.find(partition);
  if (granted == m_grant.m_partitions.end() || granted->second != epoch) {
    return "fencing epoch differs";
  }
  return "";
}

milliseconds BackendStandin::ServiceTime() const {
  milliseconds time = m_settings.m_service_time;
  if (IsCold()) {
    time *= m_settings.m_cold_factor;
  }
  if (Clock::now() < m_slow_until) {
    time *= m_slow_factor;
  }
  return time;
}

bool BackendStandin::AcquireSlot(TimePoint until) {
  if (m_running >= m_settings.m_slots) {
    if (m_waiting >= m_settings.m_queue) {
      return false;
    }
    ++m_waiting;
    m_max_waiting = std::max(m_max_waiting, m_waiting);
    while (m_running >= m_settings.m_slots && Clock::now() < until) {
      m_slot_free.WaitUntil(until);
    }
    --m_waiting;
    if (m_running >= m_settings.m_slots) {
      return false;
    }
  }
  ++m_running;
  m_max_running = std::max(m_max_running, m_running);
  return true;
}

HttpResponse BackendStandin::RunRequest(const HttpRequest& request) {
  const std::string refusal_before_run = RefusalReason(request);
  if (!refusal_before_run.empty()) {
    return RefusalResponse(refusal_before_run);
  }
  const TimePoint until = Clock::now() + milliseconds(NumericHeader(
                                             request, "x-foxtail-deadline-ms"));
  if (!AcquireSlot(until)) {
    ++m_shed;
    return RefusalResponse("no free slot");
  }
  if (IsCold() && m_running > m_settings.m_cold_limit) {
    ++m_cold_overloads;
  }
  RecordEvent(request, "begin");
  if (request.m_body.View().find(kCrashMarker) != std::string::npos) {
    RecordEvent(request, "crash");
    std::_Exit(kCrashExitCode);
  }
  boost::this_fiber::sleep_for(ServiceTime());
  --m_running;
  m_slot_free.Notify();
  const std::string refusal_after_run = RefusalReason(request);
  if (!refusal_after_run.empty()) {
    RecordEvent(request, "abort");
    return RefusalResponse(refusal_after_run);
  }
  ++m_executed;
  RecordEvent(request, "effect");
  Json::Value body;
  body["server"] = m_settings.m_name;
  body["request"] = request.m_headers.GetOr("x-foxtail-request-id", "");
  body["workspace"] = request.m_headers.GetOr("x-foxtail-workspace", "");
  body["key"] = request.m_headers.GetOr("x-partition-key", "");
  body["echo"] = std::string(request.m_body.View());
  return JsonResponse(body);
}

void BackendStandin::RecordEvent(const HttpRequest& request,
                                 const std::string& event) {
  if (!m_record_stream.is_open()) {
    return;
  }
  Json::Value line;
  line["server"] = m_settings.m_name;
  line["instance"] = m_incarnation;
  line["what"] = event;
  line["time_us"] =
      Json::Int64(std::chrono::duration_cast<std::chrono::microseconds>(
                      Clock::now().time_since_epoch())
                      .count());
  line["request"] = request.m_headers.GetOr("x-foxtail-request-id", "");
  line["workspace"] = request.m_headers.GetOr("x-foxtail-workspace", "");
  line["service"] = request.m_headers.GetOr("x-foxtail-cell", "");
  line["partition"] =
      Json::Int64(NumericHeader(request, "x-foxtail-partition"));
  line["epoch"] = Json::Int64(NumericHeader(request, "x-foxtail-epoch"));
  line["key"] = request.m_headers.GetOr("x-partition-key", "");
  line["running"] = m_running;
  Json::Value headers(Json::arrayValue);
  for (const HttpHeader& field : request.m_headers.All()) {
    headers.append(field.m_name + ": " + field.m_value);
  }
  line["headers"] = headers;
  m_record_stream << JsonText(line) << std::endl;
}

}  // namespace foxtail
