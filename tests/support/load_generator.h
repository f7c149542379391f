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

  /// Whether it may be repeated (GET /read) or not (POST /order).
  bool m_idempotent = true;

  /// Request id; empty means none.
  std::string m_id;
  std::string m_body;
  std::chrono::milliseconds m_deadline{0};
};

/// What the caller was told.
struct TestResponse {
  TestRequest m_request;

  /// 0 when the connection broke without an response.
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

/// Returns a request id issued now.
std::string NewRequestId(const std::string& name);

/// Settings of a `LoadGenerator`.
struct LoadSettings {
  /// Fibers that each send one request after another.
  uint32_t m_fibers = 8;

  /// Pause between two requests of a fiber.
  std::chrono::milliseconds m_request_interval{2};
  std::vector<uint32_t> m_hosts = {0, 1, 2};
  std::vector<std::string> m_services = {"catalogue"};
  std::vector<std::string> m_workspaces = {"club-1"};
  uint32_t m_keys = 24;

  /// Part of the requests that may not be repeated, in percent.
  uint32_t m_non_idempotent_percent = 50;
  uint64_t m_seed = 1;
};

/// Callers that send requests in the background and keep every response.
class LoadGenerator {
 public:
  LoadGenerator(Cluster& cluster, const LoadSettings& settings);
  ~LoadGenerator();

  /// Starts the fibers.
  void Start();

  /// Ends the fibers and waits for their last responses.
  void Stop();

  /// Stops sending to a host.
  void StopSendingTo(uint32_t host);

  const std::vector<TestResponse>& GetResponses() const { return m_responses; }

  /// Returns how many responses had a status.
  size_t CountStatus(int status) const;

  /// Describes the kinds of responses other than status 200, with their
  /// numbers.
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
/// of one partition, or an empty text.
std::string FindConcurrentOwners(const std::vector<RunRecord>& records);

/// Returns a description of the first contradiction between what callers were
/// told and what ran: an order that ran twice, "not run" that ran, a success
/// that did not run; or an empty text.
std::string FindFalseResponse(const std::vector<RunRecord>& records,
                              const std::vector<TestResponse>& responses);

/// Returns a description of the first response that belongs to another request,
/// or an empty text.
std::string FindMismatchedResponse(const std::vector<TestResponse>& responses);

/// Returns the longest time for which any key was not served: from the sending
/// of the first request that failed to the next response of status 200. A slow
/// success counts with its whole latency.
Duration LongestKeyOutage(const std::vector<TestResponse>& responses);

}  // namespace foxtail
