#pragma once

#include <random>
#include <string>
#include <vector>

#include "core/error.h"
#include "support/cluster.h"

namespace foxtail {

/// One request that a test sends.
struct TestRequest {
  uint32_t m_host = 0;
  std::string m_service = "catalogue";
  std::string m_workspace = "club-1";
  std::string m_key = "key-1";

  /// Whether the request is idempotent (GET /read) or not (POST /order).
  bool m_idempotent = true;

  /// Request id; empty means none.
  std::string m_id;
  std::string m_body;
  std::chrono::milliseconds m_deadline{0};
};

/// The response to a test request, as its client received it.
struct TestResponse {
  TestRequest m_request;

  /// HTTP status; 0 when the connection ended without a response.
  int m_status = 0;
  std::string m_execution;
  std::string m_error;
  std::string m_body;
  TimePoint m_sent_at;
  TimePoint m_received_at;
};

/// Sends one request and waits for its response.
TestResponse SendRequest(Cluster& cluster,
                         HttpClient& client,
                         const TestRequest& request);

/// Returns a request id with the current time as its issue time.
std::string NewRequestId(const std::string& name);

/// Settings of a `LoadGenerator`.
struct LoadSettings {
  /// Number of fibers; each sends one request after another.
  uint32_t m_fibers = 8;

  /// Delay between a response and the fiber's next request.
  std::chrono::milliseconds m_request_delay{2};
  std::vector<uint32_t> m_hosts = {0, 1, 2};
  std::vector<std::string> m_services = {"catalogue"};
  std::vector<std::string> m_workspaces = {"club-1"};
  uint32_t m_keys = 24;

  /// Percentage of requests that are not idempotent.
  uint32_t m_non_idempotent_percent = 50;
  uint64_t m_seed = 1;
};

/// Clients that send requests in the background and record every response.
class LoadGenerator {
 public:
  LoadGenerator(Cluster& cluster, const LoadSettings& settings);
  ~LoadGenerator();

  /// Starts the fibers.
  void Start();

  /// Stops the fibers and waits for their last responses.
  void Stop();

  /// Stops sending to a host.
  void StopSendingTo(uint32_t host);

  const std::vector<TestResponse>& GetResponses() const { return m_responses; }

  /// Returns the number of responses with the given status.
  size_t CountStatus(int status) const;

  /// Returns the number of responses other than status 200 for each host,
  /// status, error and execution state; one line each.
  std::string DescribeFailures() const;

 private:
  void RunFiber(uint32_t index);

  Cluster& m_cluster;
  LoadSettings m_settings;
  HttpClient m_client;
  std::vector<TestResponse> m_responses;
  uint32_t m_running = 0;
  bool m_stopping = false;
};

/// Returns a description of the first moment at which two servers ran requests
/// of one partition, or an empty string.
std::string FindConcurrentOwners(const std::vector<RunRecord>& records);

/// Returns a description of the first contradiction between the responses and
/// the servers' records, or an empty string: a non-idempotent request that ran
/// twice, a request that ran although its response says "not_run", or a success
/// that did not run.
std::string FindFalseResponse(const std::vector<RunRecord>& records,
                              const std::vector<TestResponse>& responses);

/// Returns a description of the first response that belongs to another request,
/// or an empty string.
std::string FindMismatchedResponse(const std::vector<TestResponse>& responses);

/// Returns the longest time for which any key was not served, measured from the
/// sending of the first failed request to the next response with status 200. A
/// slow success counts with its whole latency.
Duration LongestKeyOutage(const std::vector<TestResponse>& responses);

}  // namespace foxtail
