#include "support/load_generator.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <map>
#include <set>

#include "core/json.h"
#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kClientTimeout{5000};
constexpr int kStatusOk = 200;

HttpRequest BuildRequest(const TestRequest& request) {
  HttpRequest http;
  http.m_method = request.m_idempotent ? "GET" : "POST";
  http.m_target =
      "/" + request.m_service + (request.m_idempotent ? "/read" : "/order");
  if (!request.m_body.empty()) {
    http.m_method = "POST";
  }
  http.m_headers.Set("authorization", "Bearer key-" + request.m_workspace);
  http.m_headers.Set("x-partition-key", request.m_key);
  if (!request.m_id.empty()) {
    http.m_headers.Set("x-request-id", request.m_id);
  }
  if (request.m_deadline.count() > 0) {
    http.m_headers.Set("x-deadline-ms",
                       std::to_string(request.m_deadline.count()));
  }
  http.m_body = request.m_body;
  return http;
}

}  // namespace

TestResponse SendRequest(Cluster& cluster,
                         HttpClient& client,
                         const TestRequest& request) {
  TestResponse response;
  response.m_request = request;
  response.m_sent_at = Clock::now();
  ExchangeResult result = client.Exchange(cluster.EntryAddress(request.m_host),
                                          BuildRequest(request),
                                          response.m_sent_at + kClientTimeout);
  response.m_received_at = Clock::now();
  if (!result.m_ok) {
    const bool sent = result.m_progress != ExchangeProgress::kNothingSent;
    response.m_execution =
        NameOf(sent ? Execution::kUnknown : Execution::kNotRun);
    return response;
  }
  response.m_status = result.m_response.m_status;
  response.m_execution = result.m_response.m_headers.GetOr("x-execution", "");
  response.m_body = std::move(result.m_response.m_body);
  if (response.m_request.m_id.empty()) {
    response.m_request.m_id =
        result.m_response.m_headers.GetOr("x-request-id", "");
  }
  Json::Value body;
  if (TryParseJson(response.m_body, body) && body.isObject()) {
    response.m_error = body["error"].asString();
  }
  return response;
}

std::string NewRequestId(const std::string& name) {
  return std::to_string(WallNow().time_since_epoch().count()) + "-" + name;
}

LoadGenerator::LoadGenerator(Cluster& cluster, const LoadSettings& settings)
    : m_cluster(cluster), m_settings(settings) {}

LoadGenerator::~LoadGenerator() {
  Stop();
}

void LoadGenerator::Start() {
  for (uint32_t i = 0; i < m_settings.m_fibers; ++i) {
    StartFiber([this, i] { RunFiber(i); });
  }
}

void LoadGenerator::StopSendingTo(uint32_t host) {
  std::erase(m_settings.m_hosts, host);
}

void LoadGenerator::RunFiber(uint32_t index) {
  ++m_running;
  std::mt19937_64 random(m_settings.m_seed * 1000 + index);
  uint32_t sent = 0;
  while (!m_stopping) {
    TestRequest request;
    request.m_host = m_settings.m_hosts[random() % m_settings.m_hosts.size()];
    request.m_service =
        m_settings.m_services[random() % m_settings.m_services.size()];
    request.m_workspace =
        m_settings.m_workspaces[random() % m_settings.m_workspaces.size()];
    request.m_key = "key-" + std::to_string(random() % m_settings.m_keys);
    request.m_idempotent =
        random() % 100 >= m_settings.m_non_idempotent_percent;
    request.m_id =
        NewRequestId(std::to_string(index) + "-" + std::to_string(++sent));
    m_responses.push_back(SendRequest(m_cluster, m_client, request));
    boost::this_fiber::sleep_for(m_settings.m_request_delay);
  }
  --m_running;
}

void LoadGenerator::Stop() {
  m_stopping = true;
  while (m_running > 0) {
    boost::this_fiber::sleep_for(milliseconds(5));
  }
}

size_t LoadGenerator::CountStatus(int status) const {
  return static_cast<size_t>(
      std::ranges::count(m_responses, status, &TestResponse::m_status));
}

std::string LoadGenerator::DescribeFailures() const {
  std::map<std::string, int> kinds;
  for (const TestResponse& response : m_responses) {
    if (response.m_status != kStatusOk) {
      ++kinds["host " + std::to_string(response.m_request.m_host) + " " +
              std::to_string(response.m_status) + " " + response.m_error + " " +
              response.m_execution +
              (response.m_request.m_idempotent ? " read" : " order")];
    }
  }
  std::string text;
  for (const auto& [kind, count] : kinds) {
    text += std::to_string(count) + " x " + kind + "\n";
  }
  return text;
}

// Runs without an effect are ignored: the server was killed, or aborted the
// request because its grant or the deadline had expired.
std::string FindConcurrentOwners(const std::vector<RunRecord>& records) {
  struct Run {
    std::string m_server;
    uint64_t m_epoch = 0;
    int64_t m_end = 0;
  };
  std::map<std::tuple<std::string, std::string, std::string>, int64_t> begins;
  std::map<std::pair<std::string, uint32_t>, std::vector<Run>> runs;
  for (const RunRecord& record : records) {
    const auto key =
        std::tuple(record.m_server, record.m_service, record.m_request);
    if (record.m_event == "begin") {
      begins[key] = record.m_time_us;
    }
    if (record.m_event != "effect") {
      continue;
    }
    auto& earlier = runs[{record.m_service, record.m_partition}];
    for (const Run& run : earlier) {
      if (run.m_epoch > record.m_epoch) {
        return "an effect after one of a later epoch: " + record.m_line;
      }
      if (run.m_server != record.m_server && begins[key] < run.m_end) {
        return run.m_server + " still ran when " + record.m_server +
               " began: " + record.m_line;
      }
    }
    earlier.push_back({record.m_server, record.m_epoch, record.m_time_us});
  }
  return "";
}

std::string FindFalseResponse(const std::vector<RunRecord>& records,
                              const std::vector<TestResponse>& responses) {
  std::map<std::string, size_t> effects;
  for (const RunRecord& record : records) {
    effects[record.m_request] += record.m_event == "effect";
  }
  std::map<std::string, size_t> not_run_only;
  for (const TestResponse& response : responses) {
    const std::string& id = response.m_request.m_id;
    const size_t ran = effects[id];
    if (!response.m_request.m_idempotent && ran > 1) {
      return "ran " + std::to_string(ran) + " times: " + id;
    }
    if (response.m_execution == "not_run" && ran > 0) {
      return "reported as not run, but ran: " + id + " " + response.m_error;
    }
    if (response.m_status == kStatusOk && !response.m_request.m_idempotent &&
        ran != 1) {
      return "reported as run, but did not run: " + id;
    }
  }
  return "";
}

std::string FindMismatchedResponse(const std::vector<TestResponse>& responses) {
  for (const TestResponse& response : responses) {
    Json::Value body;
    if (response.m_status != kStatusOk) {
      continue;
    }
    if (!TryParseJson(response.m_body, body) ||
        body["key"].asString() != response.m_request.m_key ||
        body["workspace"].asString() != response.m_request.m_workspace ||
        body["echo"].asString() != response.m_request.m_body) {
      return response.m_request.m_id + " got " + response.m_body;
    }
    if (!response.m_request.m_idempotent &&
        body["request"].asString() != response.m_request.m_id) {
      return response.m_request.m_id + " got " + response.m_body;
    }
  }
  return "";
}

Duration LongestKeyOutage(const std::vector<TestResponse>& responses) {
  std::map<std::string, std::vector<const TestResponse*>> by_key;
  for (const TestResponse& response : responses) {
    const TestRequest& request = response.m_request;
    by_key[request.m_service + "/" + request.m_key].push_back(&response);
  }
  Duration longest{0};
  for (auto& [key, all] : by_key) {
    std::ranges::sort(all, {}, &TestResponse::m_received_at);
    TimePoint down_since = TimePoint::max();
    for (const TestResponse* response : all) {
      down_since = std::min(down_since, response->m_sent_at);
      if (response->m_status == kStatusOk) {
        longest = std::max(longest, response->m_received_at - down_since);
        down_since = TimePoint::max();
      }
    }
    if (down_since != TimePoint::max()) {
      longest = std::max(longest, all.back()->m_received_at - down_since);
    }
  }
  return longest;
}

}  // namespace foxtail
